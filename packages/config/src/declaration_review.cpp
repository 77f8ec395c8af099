#include "citronwick/config/declaration_review.hpp"

#include "citronwick/config/routing_configuration.hpp"
#include "citronwick/core/hash.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <set>
#include <spdlog/fmt/fmt.h>

namespace citronwick {

namespace {

using kind = review_finding::kind;

/// Collects findings about one entry.
class entry_review {
public:
    entry_review(std::vector<review_finding>& findings, std::string_view what, std::string_view name)
        : findings_{findings}, entry_{fmt::format("{} \"{}\"", what, name)} {}

    void check(bool is_sound, kind type, std::string detail) {
        if (!is_sound) {
            findings_.push_back({type, entry_, std::move(detail)});
        }
    }

private:
    std::vector<review_finding>& findings_;
    std::string entry_;
};

std::string to_milliseconds(std::chrono::milliseconds time) {
    return fmt::format("{} ms", time.count());
}

void review_routes(const routing_declaration& declared, const std::set<std::string>& services,
                   std::vector<review_finding>& findings) {
    std::map<std::pair<std::string, std::string>, std::string> matched;
    for (const route& each : declared.routes) {
        entry_review entry{findings, "route", each.name};
        for (const weighted_service& part : each.services) {
            entry.check(services.contains(part.service), kind::error,
                        fmt::format("service \"{}\" is not declared", part.service));
        }
        entry.check(std::ranges::any_of(each.services, [](const auto& part) { return part.weight > 0.0; }),
                    kind::error, "no service has a weight above 0");
        const bool has_slashes = each.prefix.starts_with('/') && each.prefix.ends_with('/');
        entry.check(has_slashes, kind::error,
                    fmt::format("the prefix \"{}\" does not begin and end with a slash", each.prefix));
        entry.check(!has_slashes || is_unambiguous_path(each.prefix), kind::never_matches,
                    fmt::format("requests below \"{}\" are refused as ambiguous", each.prefix));
        const auto [first, is_first] =
            matched.try_emplace({normalized_host(each.host), each.prefix}, each.name);
        entry.check(is_first, kind::never_matches,
                    fmt::format("route \"{}\" has the same host and prefix", first->second));
        entry.check(each.timeout.count() > 0, kind::error, "the timeout is 0");
        entry.check(each.target_latency <= each.timeout, kind::contradiction,
                    fmt::format("the target latency of {} exceeds the timeout of {}",
                                to_milliseconds(each.target_latency), to_milliseconds(each.timeout)));
    }
}

void review_services(const routing_declaration& declared, std::vector<review_finding>& findings) {
    std::set<std::string> reached;
    for (const route& each : declared.routes) {
        for (const weighted_service& part : each.services) {
            if (part.weight > 0.0) {
                reached.insert(part.service);
            }
        }
    }
    std::set<std::string> names;
    for (const routed_service& each : declared.services) {
        entry_review entry{findings, "service", each.name};
        entry.check(names.insert(each.name).second, kind::error, "is declared twice");
        entry.check(reached.contains(each.name), kind::never_matches, "no route leads there");
        entry.check(each.connection_limit > 0, kind::error, "its upstreams accept no connection");
        entry.check(!each.engine || each.engine->slots <= each.connection_limit, kind::contradiction,
                    fmt::format("an upstream has {} slots and accepts {} connections",
                                each.engine ? each.engine->slots : 0, each.connection_limit));
    }
}

void review_teams(const routing_declaration& declared, std::vector<review_finding>& findings) {
    std::set<std::string> names;
    std::map<std::string, std::string> owners;
    for (const routed_team& each : declared.teams) {
        entry_review entry{findings, "team", each.name};
        entry.check(names.insert(each.name).second, kind::error, "is declared twice");
        entry.check(!each.keys.empty(), kind::never_matches, "has no key");
        for (const std::string& key : each.keys) {
            const auto [owner, is_first] = owners.try_emplace(key, each.name);
            entry.check(is_first, kind::never_matches,
                        fmt::format("one of its keys belongs to team \"{}\"", owner->second));
            entry.check(!key.empty(), kind::never_matches, "one of its keys is empty");
        }
    }
}

void review_limits(const caller_limits& limits, std::vector<review_finding>& findings) {
    entry_review entry{findings, "limits", "callers"};
    entry.check(limits.header_bytes > 0, kind::error, "no header fits");
    entry.check(limits.header_timeout.count() > 0, kind::error, "no header arrives in time");
    entry.check(limits.header_timeout <= limits.idle_timeout, kind::contradiction,
                fmt::format("a header may take {}, and a connection may be idle for {}",
                            to_milliseconds(limits.header_timeout), to_milliseconds(limits.idle_timeout)));
}

std::string to_text(const route& each) {
    std::string services;
    for (const weighted_service& part : each.services) {
        services += fmt::format(" {}={}", part.service, part.weight);
    }
    return fmt::format("{}{} to{}, {}, {} attempts, priority {}, target {}, timeout {}{}{}", each.host,
                       each.prefix, services, to_text(each.kind), each.attempts, each.priority,
                       to_milliseconds(each.target_latency), to_milliseconds(each.timeout),
                       each.anonymous ? ", anonymous" : "", each.uses_context ? ", with context" : "");
}

std::string to_text(const routed_service& each) {
    const std::string engine = each.engine ? fmt::format(", engine of {} slots and {} tokens",
                                                         each.engine->slots, each.engine->cache_tokens)
                                           : "";
    const std::string cold = each.cold_rate ? fmt::format(", cold {} a second", *each.cold_rate) : "";
    return fmt::format("{} connections{}{}", each.connection_limit, engine, cold);
}

/// Tells of keys how many there are and a digest, as they are secret.
std::string to_text(const routed_team& each) {
    const std::set<std::string> keys{each.keys.begin(), each.keys.end()};
    std::uint64_t digest = 0;
    std::ranges::for_each(keys, [&](const std::string& key) { digest = hash64(key, digest); });
    return fmt::format("priority {}, {} keys, digest {:x}", each.priority, keys.size(), short_hash(digest));
}

template <class Entries>
std::map<std::string, std::string> texts_by_name(const Entries& entries) {
    std::map<std::string, std::string> texts;
    for (const auto& each : entries) {
        texts[each.name] = to_text(each);
    }
    return texts;
}

template <class Entries>
void compare(std::string_view what, const Entries& before, const Entries& after,
             std::vector<std::string>& lines) {
    const auto old_texts = texts_by_name(before);
    const auto new_texts = texts_by_name(after);
    for (const auto& [name, text] : old_texts) {
        const auto found = new_texts.find(name);
        if (found == new_texts.end()) {
            lines.push_back(fmt::format("- {} \"{}\": {}", what, name, text));
        } else if (found->second != text) {
            lines.push_back(fmt::format("~ {} \"{}\": {} -> {}", what, name, text, found->second));
        }
    }
    for (const auto& [name, text] : new_texts) {
        if (!old_texts.contains(name)) {
            lines.push_back(fmt::format("+ {} \"{}\": {}", what, name, text));
        }
    }
}

std::string to_text(const caller_limits& limits) {
    return fmt::format("header {} bytes within {}, body {} bytes, idle {}", limits.header_bytes,
                       to_milliseconds(limits.header_timeout), limits.body_bytes,
                       to_milliseconds(limits.idle_timeout));
}

} // namespace

std::string_view to_text(review_finding::kind value) {
    constexpr std::array<std::string_view, 3> names{"error", "never matches", "contradiction"};
    return names.at(static_cast<std::size_t>(value));
}

std::vector<review_finding> review_declaration(const routing_declaration& declared) {
    std::set<std::string> services;
    std::ranges::transform(declared.services, std::inserter(services, services.end()), &routed_service::name);
    std::vector<review_finding> findings;
    review_routes(declared, services, findings);
    review_services(declared, findings);
    review_teams(declared, findings);
    review_limits(declared.limits, findings);
    return findings;
}

std::vector<std::string> compare_declarations(const routing_declaration& before,
                                              const routing_declaration& after) {
    std::vector<std::string> lines;
    compare("route", before.routes, after.routes, lines);
    compare("service", before.services, after.services, lines);
    compare("team", before.teams, after.teams, lines);
    if (to_text(before.limits) != to_text(after.limits)) {
        lines.push_back(fmt::format("~ limits: {} -> {}", to_text(before.limits), to_text(after.limits)));
    }
    return lines;
}

} // namespace citronwick
