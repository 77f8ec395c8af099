#ifndef CITRONWICK_FLEET_BORROWED_PLACE_HPP_INCLUDED
#define CITRONWICK_FLEET_BORROWED_PLACE_HPP_INCLUDED

#include <functional>
#include <utility>

namespace citronwick {

/// Place on a brittle upstream that another router has lent, returned at the end of the object.
class borrowed_place {
public:
    /// @param give_back called on the thread that destroys the object
    explicit borrowed_place(std::function<void()> give_back) : give_back_{std::move(give_back)} {}
    borrowed_place(const borrowed_place&) = delete;
    borrowed_place& operator=(const borrowed_place&) = delete;
    ~borrowed_place() { give_back_(); }

private:
    std::function<void()> give_back_;
};

} // namespace citronwick

#endif
