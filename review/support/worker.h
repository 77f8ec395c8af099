#ifndef REVIEW_WORKER_HPP_INCLUDED
#define REVIEW_WORKER_HPP_INCLUDED

#include "fleet.h"

namespace review {

/// A worker. Turns away requests for another instance; the case decides on the others.
class worker {
public:
    /// Answers a request that is to be run. @return whether to keep the connection open
    using run_function = std::function<bool(worker&, connection&, const message&)>;

    worker(record& log, std::string id, std::string service, run_function run)
        : log_{log}, id_{std::move(id)}, service_{std::move(service)}, run_{std::move(run)},
          server_{[this](connection& from, const message& request) { return handle(from, request); }} {}

    void register_at(store& to) const { to.put("servers/" + id_, entry_text(service_, address(), "ready", 1)); }

    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    std::string address() const { return server_.address(); }
    server& listener() { return server_; }

    /// Header fields of an answer to a request.
    std::vector<std::pair<std::string, std::string>> fields(const message& request) const {
        return {{"Citronwick-Attempt-Id", request.field("Citronwick-Attempt-Id")},
                {"Citronwick-Server-Stamp", "stamp." + id_},
                {"Citronwick-Server-Load", "1,0,6"}};
    }

    /// Sends an answer with a length.
    bool answer(connection& to, const message& request, const std::string& status, const std::string& body) const {
        return to.send(format("HTTP/1.1 " + status, fields(request), request.method() == "HEAD" ? "" : body));
    }

private:
    bool handle(connection& from, const message& request) {
        if (request.field("Citronwick-Expect-Instance") != id_) {
            return from.send(
                format("HTTP/1.1 421 Misdirected Request", {{"Citronwick-Instance-Id", id_}}, ""));
        }
        if (request.target() == "/health") {
            return from.send(format("HTTP/1.1 200 OK", {{"Citronwick-Instance-Id", id_}}, "ok"));
        }
        return run_(*this, from, request);
    }

    record& log_;
    std::string id_;
    std::string service_;
    run_function run_;
    server server_;
};

} // namespace review

#endif
