#ifndef REVIEW_FLEET_HPP_INCLUDED
#define REVIEW_FLEET_HPP_INCLUDED

// A small deployment on loopback: the platform's store, workers and routers.
// The routers are the project's own programs, started as separate processes.

#include "net.h"

#include <boost/json.hpp>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

namespace json = boost::json;

inline const clock::time_point started_at = clock::now();

/// Writes what was sent, answered and run, one line each.
class record {
public:
    explicit record(const std::string& file) : output_{std::fopen(file.c_str(), "w")} {
        if (output_ == nullptr) {
            throw std::runtime_error{"cannot write " + file};
        }
    }
    ~record() { std::fclose(output_); }

    __attribute__((format(printf, 2, 3))) void operator()(const char* text, ...) {
        const std::scoped_lock lock{mutex_};
        const double now = std::chrono::duration<double>{clock::now() - started_at}.count();
        std::fprintf(output_, "%8.3f ", now);
        va_list arguments;
        va_start(arguments, text);
        std::vfprintf(output_, text, arguments);
        va_end(arguments);
        std::fputc('\n', output_);
        std::fflush(output_);
    }

private:
    std::mutex mutex_;
    std::FILE* output_;
};

inline std::string base64_encode(const std::string& bytes) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const auto byte = [&](std::size_t offset) -> unsigned {
            return at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U;
        };
        const unsigned group = byte(0) << 16U | byte(1) << 8U | byte(2);
        text += digits[group >> 18U & 63U];
        text += digits[group >> 12U & 63U];
        text += at + 1 < bytes.size() ? digits[group >> 6U & 63U] : '=';
        text += at + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

inline std::string base64_decode(const std::string& text) {
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char digit : text) {
        static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const auto value = digits.find(digit);
        if (value == std::string::npos) {
            break;
        }
        group = group << 6U | static_cast<unsigned>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

inline std::string query_value(const std::string& target, const std::string& name) {
    const auto query = target.find('?');
    auto begin = query;
    while (begin != std::string::npos) {
        ++begin;
        const auto end = std::min(target.find('&', begin), target.size());
        if (target.compare(begin, name.size() + 1, name + "=") == 0) {
            return target.substr(begin + name.size() + 1, end - begin - name.size() - 1);
        }
        begin = target.find('&', begin);
    }
    return {};
}

/// The platform's metadata store, as PROTOCOL.md describes it.
class store {
public:
    store() : server_{[this](connection& from, const message& request) { return handle(from, request); }} {}

    std::string address() const { return server_.address(); }

    /// Writes a key as the operator or a worker does. @return the revision, which acknowledges it
    std::int64_t put(const std::string& key, const std::string& value, std::int64_t lease = 0) {
        const std::scoped_lock lock{mutex_};
        return put_locked(key, value, lease);
    }

    std::int64_t remove(const std::string& key) {
        const std::scoped_lock lock{mutex_};
        return remove_locked(key);
    }

    /// Makes a router's connections that are open now silent for good. New ones work.
    void silence_connections(const std::string& ip) {
        const std::scoped_lock lock{mutex_};
        ++generations_[ip];
        changed_.notify_all();
    }

    /// When a router last began a watch that waits.
    clock::time_point watched_at(const std::string& ip) {
        const std::scoped_lock lock{mutex_};
        return watched_at_[ip];
    }

private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    std::int64_t put_locked(const std::string& key, const std::string& value, std::int64_t lease) {
        item& stored = items_[key];
        stored = {value, ++revision_, stored.created == 0 ? revision_ : stored.created, lease};
        history_.push_back(to_json(key, stored));
        changed_.notify_all();
        return revision_;
    }

    std::int64_t remove_locked(const std::string& key) {
        if (items_.erase(key) > 0) {
            history_.push_back({{"key", key}, {"revision", ++revision_}, {"removed", true}});
            changed_.notify_all();
        }
        return revision_;
    }

    static json::object to_json(const std::string& key, const item& stored) {
        return {{"key", key},
                {"value", base64_encode(stored.value)},
                {"revision", stored.revision},
                {"created", stored.created},
                {"lease", stored.lease}};
    }

    bool handle(connection& from, const message& request) {
        std::unique_lock lock{mutex_};
        from.mark = from.mark < 0 ? generations_[from.peer()] : from.mark;
        int status = 200;
        json::object answer;
        if (!is_silent(from)) {
            answer = respond(request, status, lock, from);
        }
        if (is_silent(from)) {
            // Reads and never answers.
            lock.unlock();
            while (from.fill(clock::now() + std::chrono::minutes{2})) {
                from.buffer.clear();
            }
            return false;
        }
        const std::string text = json::serialize(answer);
        lock.unlock();
        return from.send(format("HTTP/1.1 " + std::to_string(status) + " X",
                                {{"Content-Type", "application/json"}}, text));
    }

    bool is_silent(const connection& from) { return from.mark != generations_[from.peer()]; }

    json::object respond(const message& request, int& status, std::unique_lock<std::mutex>& lock,
                         const connection& from) {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        if (path == "/v1/kv-key") {
            const auto found = items_.find(query_value(target, "key"));
            if (found == items_.end()) {
                status = 404;
                return {};
            }
            auto answer = to_json(found->first, found->second);
            answer["currentRev"] = revision_;
            return answer;
        }
        if (path == "/v1/kv-range") {
            json::array items;
            const std::string prefix = query_value(target, "prefix");
            const std::string after = query_value(target, "after");
            for (const auto& [key, stored] : items_) {
                if (key.rfind(prefix, 0) == 0 && (after.empty() || key > after)) {
                    items.push_back(to_json(key, stored));
                }
            }
            return {{"items", std::move(items)}, {"hasMore", false}, {"currentRev", revision_}};
        }
        if (path == "/v1/kv-watch") {
            return watch(target, lock, from);
        }
        json::value parsed = request.body.empty() ? json::object{} : json::parse(request.body);
        const json::object& body = parsed.as_object();
        if (path == "/v1/kv-txn") {
            return transact(body, status);
        }
        if (path == "/v1/kv-lease") {
            leases_.insert(++last_lease_);
            return {{"lease", last_lease_}, {"ttlMs", body.at("ttlMs")}};
        }
        const std::int64_t lease = std::atoll(path.substr(path.rfind('/') + 1).c_str());
        if (path.rfind("/v1/kv-keep/", 0) == 0 && leases_.count(lease) > 0) {
            return {{"ttlMs", 60000}};
        }
        status = 404;
        return {};
    }

    json::object watch(const std::string& target, std::unique_lock<std::mutex>& lock, const connection& from) {
        const std::int64_t after = std::atoll(query_value(target, "after").c_str());
        const milliseconds wait{std::atoll(query_value(target, "waitMs").c_str())};
        constexpr milliseconds long_wait{1000};
        if (wait >= long_wait) {
            watched_at_[from.peer()] = clock::now();
        }
        changed_.wait_for(lock, wait, [&] { return is_silent(from) || revision_ > after; });
        json::array events;
        const std::string prefix = query_value(target, "prefix");
        for (const json::object& each : history_) {
            const std::string key{each.at("key").as_string()};
            if (each.at("revision").as_int64() > after && key.rfind(prefix, 0) == 0) {
                events.push_back(each);
            }
        }
        return {{"events", std::move(events)}, {"currentRev", revision_}};
    }

    json::object transact(const json::object& body, int& status) {
        json::array current;
        bool holds = true;
        for (const json::value& each : body.at("expectedRevision").as_array()) {
            const std::string key{each.at("key").as_string()};
            const auto found = items_.find(key);
            const std::int64_t revision = found == items_.end() ? 0 : found->second.revision;
            holds = holds && revision == each.at("revision").to_number<std::int64_t>();
            current.push_back(found == items_.end() ? json::object{{"key", key}, {"revision", 0}}
                                                    : to_json(key, found->second));
        }
        if (!holds) {
            status = 412;
            return {{"items", std::move(current)}};
        }
        for (const json::value& each : body.at("setKeys").as_array()) {
            put_locked(std::string{each.at("key").as_string()},
                       base64_decode(std::string{each.at("value").as_string()}),
                       each.at("lease").to_number<std::int64_t>());
        }
        for (const json::value& each : body.at("deleteKeys").as_array()) {
            remove_locked(std::string{each.as_string()});
        }
        return {{"revision", revision_}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<json::object> history_;
    std::set<std::int64_t> leases_;
    std::int64_t last_lease_ = 0;
    std::int64_t revision_ = 10;
    std::map<std::string, int> generations_; ///< by router: of the connections that are not silent
    std::map<std::string, clock::time_point> watched_at_; ///< by router
    server server_;
};

/// A worker's entry in the store.
inline std::string entry_text(const std::string& service, const std::string& address, const std::string& state,
                              std::int64_t seq, std::int64_t born = 1764900000000) {
    return json::serialize(json::object{{"service", service},
                                        {"address", address},
                                        {"zone", "busan-a"},
                                        {"version", "1.4.2"},
                                        {"slots", 6},
                                        {"state", state},
                                        {"coldRemainingMs", 0},
                                        {"seq", seq},
                                        {"born", born}});
}

struct route_options {
    std::string prefix;
    std::string kind = "unsafe";
    std::string service = "shop-desk";
    int attempts = 1;
    int timeout_ms = 1000;
    int target_ms = 100;
    bool resume = false;
    bool anonymous = false;
};

struct tenant {
    std::string name;
    std::vector<std::string> keys;
};

constexpr const char* host = "ficu95.example";

/// The text of `op/config`.
inline std::string config_text(int version, const std::vector<route_options>& routes,
                               const std::vector<tenant>& tenants) {
    json::array route_list;
    std::set<std::string> services;
    for (const route_options& each : routes) {
        services.insert(each.service);
        route_list.push_back(json::object{{"name", "r" + std::to_string(route_list.size())},
                                          {"host", host},
                                          {"prefix", each.prefix},
                                          {"service", each.service},
                                          {"kind", each.kind},
                                          {"timeoutMs", each.timeout_ms},
                                          {"targetLatencyMs", each.target_ms},
                                          {"targetGapMs", 250},
                                          {"attempts", each.attempts},
                                          {"priority", 2},
                                          {"resumeStreams", each.resume},
                                          {"allowAnonymous", each.anonymous}});
    }
    json::array service_list;
    for (const std::string& each : services) {
        service_list.push_back(
            json::object{{"name", each}, {"healthCheckPath", "/health"}, {"connectionLimit", 96}});
    }
    json::array tenant_list;
    for (const tenant& each : tenants) {
        json::array keys;
        for (const std::string& key : each.keys) {
            keys.emplace_back(key);
        }
        tenant_list.push_back(json::object{{"name", each.name}, {"apiKeys", keys}, {"priority", 0}});
    }
    json::object document{{"version", version},
                          {"routes", route_list},
                          {"services", service_list},
                          {"limits", json::object{{"headerBytes", 16384},
                                                  {"bodyBytes", 4194304},
                                                  {"headerTimeoutMs", 5000},
                                                  {"idleTimeoutMs", 30000}}}};
    if (!tenants.empty()) {
        document["tenants"] = tenant_list;
    }
    return json::serialize(document);
}

/// A router, started with the deploy file's program and settings rendered from its template.
class router {
public:
    router(const std::string& directory, const std::string& name, const std::string& store_address,
           const std::string& ip = loopback, const std::string& zone = "busan-a")
        : name_{name}, ip_{ip}, zone_{zone}, front_{free_port()}, ready_{free_port()}, fleet_{free_port()},
          settings_{directory + "/" + name + ".conf"}, log_{directory + "/" + name + ".log"} {
        write_settings(store_address);
        start();
    }
    ~router() { stop(SIGKILL); }

    void start() {
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
            const int output = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            execl("target/bin/citronwickd", "target/bin/citronwickd", "--config", settings_.c_str(), nullptr);
            _exit(127);
        }
    }

    void stop(int signal) {
        if (pid_ > 0) {
            kill(pid_, signal);
            waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }

    void send_signal(int signal) const { kill(pid_, signal); }

    /// Waits until the readiness call answers 200, as the platform asks it.
    bool wait_until_ready() const {
        const auto deadline = clock::now() + std::chrono::seconds{15};
        while (clock::now() < deadline) {
            if (auto asked = connection::open(ready_, ip_)) {
                asked->send(format("GET /v1/readiness HTTP/1.1", {{"Host", "x"}}, "", false));
                if (read_response(*asked, "GET", clock::now() + milliseconds{500}).status() == 200) {
                    return true;
                }
            }
            std::this_thread::sleep_for(milliseconds{50});
        }
        return false;
    }

    std::uint16_t front() const { return front_; }
    const std::string& name() const { return name_; }
    const std::string& ip() const { return ip_; }

private:
    void write_settings(const std::string& store_address) const {
        const std::map<std::string, std::string> values{
            {"nodeName", name_},
            {"region", "kr-south"},
            {"zone", zone_},
            {"ipAddress", ip_},
            {"listenAddresses.front", ip_ + ":" + std::to_string(front_)},
            {"listenAddresses.readyAddr", ip_ + ":" + std::to_string(ready_)},
            {"internalPortRange.0", std::to_string(fleet_)},
            {"platform.address", store_address},
            {"bounds.revokeMs", "5000"},
            {"bounds.retryBudgetRatio", "0.2"},
            {"bounds.budgetExtraRetries", "52"},
            {"bounds.budgetWindowS", "10"},
            {"bounds.capacityMultiple", "2"},
            {"bounds.graceS", "8"},
        };
        std::ifstream input{"deploy/router.toml.in"};
        std::string text{std::istreambuf_iterator<char>{input}, {}};
        for (std::size_t begin = 0; (begin = text.find("{{")) != std::string::npos;) {
            const auto end = text.find("}}", begin);
            const auto value = values.find(text.substr(begin + 2, end - begin - 2));
            if (value == values.end()) {
                throw std::runtime_error{"unknown placeholder in the template"};
            }
            text.replace(begin, end + 2 - begin, value->second);
        }
        std::ofstream{settings_} << text;
    }

    std::string name_;
    std::string ip_;
    std::string zone_;
    std::uint16_t front_;
    std::uint16_t ready_;
    std::uint16_t fleet_;
    std::string settings_;
    std::string log_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// A temporary folder, removed at the end unless REVIEW_KEEP is set.
class scratch {
public:
    scratch() {
        std::string pattern = (std::filesystem::temp_directory_path() / "citronwick-review-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~scratch() {
        if (std::getenv("REVIEW_KEEP") != nullptr) {
            std::fprintf(stderr, "kept %s\n", path_.c_str());
            return;
        }
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

inline std::string next_attempt() {
    static std::atomic<unsigned> count{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(getpid()), ++count);
    return text;
}

/// Header fields of a client's attempt.
inline std::vector<std::pair<std::string, std::string>> client_fields(const std::string& attempt, int deadline_ms,
                                                                      const std::string& key = {}) {
    std::vector<std::pair<std::string, std::string>> fields{
        {"Host", host},
        {"Citronwick-Attempt-Id", attempt},
        {"Citronwick-Deadline-Ms", std::to_string(deadline_ms)}};
    if (!key.empty()) {
        fields.emplace_back("X-Api-Key", key);
    }
    return fields;
}

inline bool has_trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string{value} != "0";
}

constexpr unsigned time_limit_s = 110; // of 120 that a case may take

enum exit_status : int { rule_held = 0, rule_broken = 1, could_not_run = 2 };

/// Runs a case: `main` of each. Threads of stand-ins still run at the end, so what they use
/// is never destroyed.
inline int run_case(int argc, char** argv, int (*run)(record&, const std::string& directory)) {
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, [](int) { _exit(could_not_run); });
    alarm(time_limit_s);
    int result = could_not_run;
    try {
        record& log = *new record{std::string{argc > 1 ? argv[1] : "."} + "/record.txt"};
        const scratch directory;
        result = run(log, directory.path());
        log("exit %d: %s", result,
            result == rule_held ? "the rule held" : (result == rule_broken ? "the rule was broken" : "not run"));
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    std::_Exit(result);
}

} // namespace review

#endif
