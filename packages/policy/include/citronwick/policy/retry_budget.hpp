#ifndef CITRONWICK_POLICY_RETRY_BUDGET_HPP_INCLUDED
#define CITRONWICK_POLICY_RETRY_BUDGET_HPP_INCLUDED

namespace citronwick {

/// Keeps retries to a share of the requests sent, so that a failing upstream
/// cannot multiply the load on the others.
class retry_budget {
public:
    /// Counts a first attempt.
    /// @param share retries that one request earns
    void record_request(double share);

    /// Takes one retry from the budget.
    /// @return false where the budget is spent
    bool take_retry();

private:
    static constexpr double most_saved = 10.0;
    double balance_ = most_saved;
};

} // namespace citronwick

#endif
