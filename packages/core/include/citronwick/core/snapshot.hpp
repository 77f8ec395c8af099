#ifndef CITRONWICK_CORE_SNAPSHOT_HPP_INCLUDED
#define CITRONWICK_CORE_SNAPSHOT_HPP_INCLUDED

#include <memory>
#include <mutex>
#include <utility>

namespace citronwick {

/// Shared pointer to an immutable value that one thread replaces and others read.
///
/// The mutex guards only the pointer. A reader keeps the value that it loaded
/// after the writer has stored a newer one.
template <class T>
class snapshot {
public:
    explicit snapshot(std::shared_ptr<const T> initial) : current_(std::move(initial)) {}

    std::shared_ptr<const T> load() const {
        const std::scoped_lock lock{mutex_};
        return current_;
    }

    void store(std::shared_ptr<const T> next) {
        const std::scoped_lock lock{mutex_};
        current_.swap(next);
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const T> current_;
};

} // namespace citronwick

#endif
