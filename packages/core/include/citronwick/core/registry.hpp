#ifndef CITRONWICK_CORE_REGISTRY_HPP_INCLUDED
#define CITRONWICK_CORE_REGISTRY_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <ranges>
#include <string>
#include <string_view>
#include <vector>

namespace citronwick {

/// Factories of the implementations of one interface, by name.
///
/// Each implementation registers itself through a `registrar` in its source file.
template <class Interface>
class registry {
public:
    using factory = std::function<std::unique_ptr<Interface>()>;

    /// Process-wide registry of this interface.
    static registry& instance() {
        static registry shared;
        return shared;
    }

    void add(std::string name, factory make) { factories_.emplace(std::move(name), std::move(make)); }

    /// @return null if no implementation has that name
    std::unique_ptr<Interface> make(std::string_view name) const {
        const auto found = factories_.find(name);
        return found == factories_.end() ? nullptr : found->second();
    }

    /// Names of the registered implementations in alphabetical order.
    std::vector<std::string> names() const {
        const auto keys = factories_ | std::views::keys;
        return {keys.begin(), keys.end()};
    }

private:
    std::map<std::string, factory, std::less<>> factories_;
};

/// Registers `Implementation` under a name during static initialisation.
template <class Interface, class Implementation>
class registrar {
public:
    explicit registrar(std::string name) {
        registry<Interface>::instance().add(std::move(name),
                                            [] { return std::make_unique<Implementation>(); });
    }
};

} // namespace citronwick

#endif
