#include "experiment.hpp"

#include "citronwick/config/table_reader.hpp"

namespace citronwick::bench {

namespace {

load_profile read_load(const toml::table& table, problem_list& problems) {
    load_profile load;
    table_reader reader{table, "load", problems};
    reader.read("requests_per_second", load.requests_per_second)
        .read("chats", load.chats)
        .read("popularity", load.popularity)
        .read("first_prompt", load.first_prompt)
        .read("growth", load.growth)
        .read("longest_prompt", load.longest_prompt)
        .read("heavy_share", load.heavy_share)
        .read("heavy_prompt", load.heavy_prompt)
        .read("tokens", load.tokens)
        .read("surge", load.surge);
    reader.finish();
    return load;
}

churn_profile read_churn(const toml::table& table, problem_list& problems) {
    churn_profile churn;
    table_reader reader{table, "churn", problems};
    reader.read("interval", churn.interval).read("kinds", churn.kinds);
    reader.finish();
    return churn;
}

arm_settings read_arm(const toml::table& table, problem_list& problems) {
    arm_settings arm;
    table_reader reader{table, "arm", problems};
    reader.require("name", arm.name)
        .read("preset", arm.preset)
        .read("fleet", arm.fleet)
        .read("echo_hints", arm.echo_hints);
    reader.finish();
    return arm;
}

experiment read_experiment(const toml::table& table, problem_list& problems) {
    experiment parsed;
    table_reader reader{table, "experiment", problems};
    reader.require("name", parsed.name)
        .read("kind", parsed.kind)
        .read("seed", parsed.seed)
        .read("warm_up", parsed.warm_up)
        .read("duration", parsed.duration)
        .read("routers", parsed.routers)
        .read("engines", parsed.engines)
        .read("teams", parsed.teams)
        .read("shared_engines", parsed.shared_engines)
        .read("engine_arguments", parsed.engine_arguments);
    parsed.load = read_load(reader.table("load"), problems);
    parsed.churn = read_churn(reader.table("churn"), problems);
    for (const toml::table* arm : reader.tables("arm")) {
        parsed.arms.push_back(read_arm(*arm, problems));
    }
    reader.finish();
    return parsed;
}

} // namespace

result<std::vector<experiment>> read_experiments(const std::string& file) {
    toml::table document;
    try {
        document = toml::parse_file(file);
    } catch (const toml::parse_error& error) {
        return fail({"read experiments", file, std::string{error.description()}});
    }
    problem_list problems{file};
    table_reader reader{document, "", problems};
    std::vector<experiment> experiments;
    for (const toml::table* table : reader.tables("experiment")) {
        experiments.push_back(read_experiment(*table, problems));
    }
    reader.finish();
    if (!problems.empty()) {
        return fail({"read experiments", file, problems.text()});
    }
    return experiments;
}

} // namespace citronwick::bench
