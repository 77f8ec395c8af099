#include "citronwick/config/declaration.hpp"

#include "citronwick/config/table_reader.hpp"
#include "citronwick/core/field_value.hpp"
#include "citronwick/core/registry.hpp"
#include "citronwick/policy/placement.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace citronwick {

namespace {

template <class T>
struct field {
    std::string_view key;
    T preset::* member;
};

constexpr std::tuple preset_fields{
    field<std::string>{"placement", &preset::placement},
    field<double>{"skew_target", &preset::skew_target},
    field<double>{"skew_limit", &preset::skew_limit},
    field<std::uint32_t>{"spill_width", &preset::spill_width},
    field<std::uint32_t>{"engine_concurrency", &preset::engine_concurrency},
    field<std::uint32_t>{"queue_length", &preset::queue_length},
    field<double>{"retry_share", &preset::retry_share},
    field<bool>{"hints", &preset::hints},
    field<std::chrono::milliseconds>{"queue_timeout", &preset::queue_timeout},
    field<std::chrono::milliseconds>{"connect_timeout", &preset::connect_timeout},
    field<std::chrono::milliseconds>{"first_byte_timeout", &preset::first_byte_timeout},
    field<std::chrono::milliseconds>{"idle_timeout", &preset::idle_timeout},
    field<std::chrono::milliseconds>{"slow_start", &preset::slow_start},
};

struct number_range {
    std::string_view key;
    double preset::* member;
    double min;
    double max;
};

constexpr std::array number_ranges{
    number_range{"skew_target", &preset::skew_target, 1.0, 10.0},
    number_range{"skew_limit", &preset::skew_limit, 1.0, 20.0},
    number_range{"retry_share", &preset::retry_share, 0.0, 1.0},
};

void check_preset(const preset& values, table_reader& reader) {
    std::ranges::for_each(number_ranges, [&](const number_range& range) {
        const double value = values.*range.member;
        if (value < range.min || value > range.max) {
            reader.reject(range.key, "expected a number from " + std::to_string(range.min) + " to " +
                                         std::to_string(range.max));
        }
    });
    if (values.skew_limit < values.skew_target) {
        reader.reject("skew_limit", "must not be below skew_target");
    }
    if (values.spill_width == 0 || values.engine_concurrency == 0) {
        reader.reject(values.spill_width == 0 ? "spill_width" : "engine_concurrency", "must be at least 1");
    }
    const auto policies = registry<placement_policy>::instance().names();
    if (!std::ranges::binary_search(policies, values.placement)) {
        const std::string hint = closest_name(values.placement, policies);
        reader.reject("placement",
                      "unknown policy" + (hint.empty() ? "" : "; did you mean \"" + hint + "\"?"));
    }
}

preset read_preset(std::string name, const toml::table& table, problem_list& problems) {
    preset values{.name = std::move(name)};
    table_reader reader{table, "preset." + values.name, problems};
    std::apply([&](const auto&... each) { (reader.read(each.key, values.*each.member), ...); },
               preset_fields);
    reader.finish();
    check_preset(values, reader);
    return values;
}

service read_service(const toml::table& table, problem_list& problems) {
    service read;
    std::string kind = "plain";
    std::string key_requirement_name = "optional";
    table_reader reader{table, "service", problems};
    reader.require("name", read.name).require("kind", kind).read("models", read.models);
    reader.read("repeatable", read.repeatable)
        .read("idempotency_key", key_requirement_name)
        .read("key_pointer", read.key_pointer);
    reader.read("deduplicates", read.deduplicates).read("checks_fencing_number", read.checks_fencing_number);
    reader.finish();
    if (kind != "engine" && kind != "plain") {
        reader.reject("kind", R"(expected "engine" or "plain")");
    }
    if (key_requirement_name != "optional" && key_requirement_name != "required") {
        reader.reject("idempotency_key", R"(expected "optional" or "required")");
    }
    read.kind = kind == "engine" ? service_kind::engine : service_kind::plain;
    read.idempotency_key =
        key_requirement_name == "required" ? key_requirement::required : key_requirement::optional;
    if (read.kind == service_kind::engine && read.models.empty()) {
        reader.reject("models", "an engine service needs at least one model");
    }
    if (!read.key_pointer.empty() && !read.key_pointer.starts_with('/')) {
        reader.reject("key_pointer", R"(expected a JSON pointer, such as "/order/number")");
    }
    return read;
}

team read_team(const toml::table& table, problem_list& problems) {
    constexpr std::size_t digest_digits = 64;
    team read;
    table_reader reader{table, "team", problems};
    reader.require("name", read.name).require("key_sha256", read.key_sha256).read("weight", read.weight);
    reader.finish();
    const bool is_digest = read.key_sha256.size() == digest_digits &&
                           read.key_sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!is_digest) {
        reader.reject("key_sha256",
                      "expected 64 lower-case hexadecimal digits (citronctl hash-key prints them)");
    }
    if (read.weight <= 0.0) {
        reader.reject("weight", "expected a number above 0");
    }
    if (!is_field_value(read.name)) {
        reader.reject("name", "expected no control characters, and no blanks at its ends");
    }
    return read;
}

/// Adds a problem for each duplicate name.
template <class Items, class Projection>
void check_unique(const Items& items, Projection name, const std::string& what, problem_list& problems) {
    std::set<std::string> seen;
    std::ranges::for_each(items, [&](const auto& item) {
        if (!seen.insert(std::invoke(name, item)).second) {
            problems.add({}, what, "\"" + std::invoke(name, item) + "\" is declared twice");
        }
    });
}

void check_models(const std::vector<service>& services, problem_list& problems) {
    std::set<std::string> seen;
    for (const service& each : services) {
        for (const std::string& model : each.models) {
            if (!seen.insert(model).second) {
                problems.add({}, "service." + each.name,
                             "model \"" + model + "\" is already served by another service");
            }
        }
    }
}

template <class Items>
auto find_by_name(const Items& items, std::string_view name) -> decltype(items.data()) {
    const auto found = std::ranges::find(items, name, &std::ranges::range_value_t<Items>::name);
    return found == items.end() ? nullptr : &*found;
}

result<toml::table> parse_toml(std::string_view text, const std::string& file) {
    try {
        return toml::parse(text, file);
    } catch (const toml::parse_error& error) {
        problem_list problems{file};
        problems.add(error.source(), "syntax", std::string{error.description()});
        return fail({"parse TOML", file, problems.text()});
    }
}

} // namespace

result<declaration> declaration::parse(std::string_view text, const std::string& file) {
    BOOST_LEAF_AUTO(document, parse_toml(text, file));
    problem_list problems{file};
    table_reader reader{document, "", problems};
    declaration read;
    for (const toml::table* each : reader.tables("service")) {
        read.services_.push_back(read_service(*each, problems));
    }
    for (const toml::table* each : reader.tables("team")) {
        read.teams_.push_back(read_team(*each, problems));
    }
    for (const auto& [name, node] : reader.table("preset")) {
        if (node.is_table()) {
            read.presets_.push_back(read_preset(std::string{name.str()}, *node.as_table(), problems));
        }
    }
    reader.finish();
    if (read.presets_.empty()) {
        problems.add({}, "preset", "at least one [preset.NAME] table is required");
    }
    check_unique(read.services_, &service::name, "service", problems);
    check_unique(read.teams_, &team::name, "team", problems);
    check_unique(read.teams_, &team::key_sha256, "team key", problems);
    check_models(read.services_, problems);
    if (!problems.empty()) {
        return fail({"check declaration", file, problems.text()});
    }
    for (std::size_t index = 0; index < read.teams_.size(); ++index) {
        read.team_by_key_.emplace(read.teams_[index].key_sha256, index);
    }
    return read;
}

const service* declaration::find_service(std::string_view name) const {
    return find_by_name(services_, name);
}

const preset* declaration::find_preset(std::string_view name) const {
    return find_by_name(presets_, name);
}

const service* declaration::find_service_of_model(std::string_view model) const {
    const auto serves = [model](const service& each) {
        return std::ranges::find(each.models, model) != each.models.end();
    };
    const auto found = std::ranges::find_if(services_, serves);
    return found == services_.end() ? nullptr : &*found;
}

const team* declaration::find_team(std::string_view key_sha256) const {
    const auto found = team_by_key_.find(std::string{key_sha256});
    return found == team_by_key_.end() ? nullptr : &teams_[found->second];
}

} // namespace citronwick
