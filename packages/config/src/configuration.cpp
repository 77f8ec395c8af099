#include "citronwick/config/configuration.hpp"

#include "citronwick/core/hash.hpp"
#include "citronwick/io/json_text.hpp"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace citronwick {

namespace {

namespace json = boost::json;

/// Largest chunk; its length fits the 16-bit length field of a fleet message.
constexpr std::size_t max_chunk_bytes = std::size_t{48} << 10U;
/// A line ends its chunk if its hash is a multiple of this, so one line in 256 on average.
constexpr std::uint64_t mean_lines_per_chunk = 256;

struct text_member {
    std::string_view name;
    std::string configuration_root::* member;
};

constexpr std::array text_members{
    text_member{"active_preset", &configuration_root::active_preset},
    text_member{"previous", &configuration_root::previous},
    text_member{"change_id", &configuration_root::change_id},
    text_member{"writer", &configuration_root::writer},
    text_member{"time", &configuration_root::time},
    text_member{"reason", &configuration_root::reason},
};

struct list_member {
    std::string_view name;
    std::vector<std::string> configuration_root::* member;
};

constexpr std::array list_members{
    list_member{"chunks", &configuration_root::chunks},
    list_member{"drained", &configuration_root::drained},
    list_member{"evacuated", &configuration_root::evacuated},
};

} // namespace

std::string to_json(const configuration_root& root) {
    json::object object{{"generation", root.generation}};
    std::ranges::for_each(list_members, [&](const list_member& each) {
        const auto& list = root.*each.member;
        object[each.name] = json::array(list.begin(), list.end());
    });
    std::ranges::for_each(text_members,
                          [&](const text_member& each) { object[each.name] = root.*each.member; });
    return json::serialize(object);
}

result<configuration_root> parse_configuration_root(std::string_view text, const std::string& source) {
    const auto object = parse_json_object(text);
    if (!object || !object->contains("generation")) {
        return fail({"read configuration root", source, "not a configuration root"});
    }
    configuration_root root{.generation = static_cast<std::uint64_t>(integer_member(*object, "generation"))};
    std::ranges::for_each(text_members, [&](const text_member& each) {
        root.*each.member = string_member(*object, each.name);
    });
    std::ranges::for_each(list_members, [&](const list_member& each) {
        root.*each.member = string_array_member(*object, each.name);
    });
    return root;
}

result<configuration> make_configuration(configuration_root root, std::string text) {
    const std::string source = "generation " + std::to_string(root.generation);
    BOOST_LEAF_AUTO(declared, declaration::parse(text, source));
    const preset* const active = declared.find_preset(root.active_preset);
    if (active == nullptr) {
        return fail({"check configuration", source, "preset \"" + root.active_preset + "\" is not declared"});
    }
    preset active_preset = *active;
    return configuration{std::move(root), std::move(text), std::move(declared), std::move(active_preset)};
}

std::string to_document(const configuration& value) {
    return to_json(value.root) + "\n" + value.text;
}

result<configuration> parse_document(std::string_view document, const std::string& source) {
    const auto end = document.find('\n');
    if (end == std::string_view::npos) {
        return fail({"read configuration", source, "document has no root line"});
    }
    BOOST_LEAF_AUTO(root, parse_configuration_root(document.substr(0, end), source));
    return make_configuration(std::move(root), std::string{document.substr(end + 1)});
}

std::vector<std::string> split_chunks(std::string_view text) {
    std::vector<std::string> chunks(1);
    while (!text.empty()) {
        const auto newline = text.find('\n');
        const auto length =
            std::min({newline == std::string_view::npos ? text.size() : newline + 1, max_chunk_bytes});
        const auto line = text.substr(0, length);
        text.remove_prefix(length);
        if (chunks.back().size() + length > max_chunk_bytes) {
            chunks.emplace_back();
        }
        chunks.back() += line;
        if (length > 1 && hash64(line) % mean_lines_per_chunk == 0) {
            chunks.emplace_back();
        }
    }
    if (chunks.back().empty()) {
        chunks.pop_back();
    }
    return chunks;
}

} // namespace citronwick
