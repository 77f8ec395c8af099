#ifndef CITRONWICK_POLICY_RETRY_BUDGET_HPP_INCLUDED
#define CITRONWICK_POLICY_RETRY_BUDGET_HPP_INCLUDED

namespace citronwick {

/// Limits retries to a fraction of the requests, so that a failing upstream does
/// not cause a retry storm on the others.
class retry_budget {
public:
    /// Records the first attempt of a request.
    /// @param share retries that one request adds to the budget
    void record_request(double share);

    /// Takes one retry from the budget.
    /// @return false if the budget is exhausted
    bool take_retry();

private:
    static constexpr double max_balance = 10.0;
    double balance_ = max_balance;
};

} // namespace citronwick

#endif
