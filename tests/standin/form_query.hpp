#ifndef CITRONWICK_TESTS_STANDIN_FORM_QUERY_HPP_INCLUDED
#define CITRONWICK_TESTS_STANDIN_FORM_QUERY_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace citronwick::standin {

/// Query of a request's target, read as servers read forms: parameters are separated by "&", "+" is a
/// blank, "%XX" a byte, and what follows "#" is no part of it.
///
/// Shares no code with the clients, so that a misreading of theirs shows.
class form_query {
public:
    /// @return none if the target holds other bytes than visible ASCII, or an incomplete "%XX"
    static std::optional<form_query> parse(std::string_view target);

    bool has(const std::string& name) const { return values_.contains(name); }

    /// Value of a parameter, empty if it is missing.
    std::string text(const std::string& name) const;

    /// Value of a numeric parameter, 0 if it is missing or no number.
    std::int64_t number(const std::string& name) const;

private:
    std::map<std::string, std::string> values_;
};

} // namespace citronwick::standin

#endif
