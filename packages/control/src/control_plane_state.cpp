#include "control_plane_state.hpp"

namespace citronwick {

using wire::document_kind;

namespace {

task<void> sleep_for(duration time) {
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(use_tuple);
}

} // namespace

io_result<endpoint> control_plane::state::open_fleet_address() {
    constexpr int max_attempts = 20;
    io_result<endpoint> bound{failure{"bind fleet address", to_text(settings_.fleet_listen), "no free port"}};
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        bound = channel_.open(settings_.fleet_listen);
        if (bound.has_error()) {
            return bound;
        }
        const auto listening = exchange_.open(*bound);
        if (listening.has_value()) {
            return bound;
        }
        bound = listening.error();
        if (settings_.fleet_listen.port != 0) {
            return bound;
        }
        channel_.close();
    }
    return bound;
}

void control_plane::state::receive(const wire::header& from, const wire::gossip& message) {
    const auto now = clock::now();
    for (const wire::member_record& record : message.members) {
        if (members_.merge(record, now)) {
            log_info("member_learnt", {{"vm", record.vm},
                                       {"failure_domain", record.failure_domain},
                                       {"leaving", record.leaving ? "yes" : "no"}});
            announce_members_ = true;
            count_owners_stale_ = true;
            view_changed_ = true;
        }
    }
    if (!members_.record_message(from, now)) {
        announce_members_ = true;
        return;
    }
    upstreams_.record_peer_usage(from.sender, message.usage);
    answer_slot_requests(from.sender, message.slot_requests);
    for (const wire::slot_reply& reply : message.slot_replies) {
        handle_slot_reply(reply, now);
    }
    for (const wire::count_entry& count : message.counts) {
        upstreams_.record_count(count.upstream, count.in_flight, now);
    }
    suspects_.merge(message.suspects, now);
    repair_suspects(from.sender, message, now);
    handle_reports(message.reports, now);
    for (const wire::leaving_entry& mark : message.leaving) {
        if (upstreams_.mark_leaving(mark.upstream, mark.incarnation)) {
            leaving_mark_rounds_left_ = control_timing::leaving_mark_rounds;
        }
    }
    for (const wire::document_version& version : message.documents) {
        pull_if_newer(from.sender, version);
    }
    view_changed_ = true;
}

/// Sends what this router knows of suspects that the sender's digest lacks, since
/// messages get lost and routers start.
void control_plane::state::repair_suspects(std::uint64_t sender, const wire::gossip& message,
                                           time_point now) {
    const auto address = members_.address_of(sender);
    if (message.suspect_digest.empty() || !address) {
        return;
    }
    wire::gossip answer;
    answer.suspects =
        suspects_.records_unlike(message.suspect_digest, control_timing::max_suspect_records, now);
    if (!answer.suspects.empty()) {
        record_bytes(control_traffic::gossip, channel_.send(answer, *address));
    }
}

void control_plane::state::answer_slot_requests(std::uint64_t requester,
                                                const std::vector<wire::slot_request>& requests) {
    const auto address = members_.address_of(requester);
    if (requests.empty() || !address) {
        return;
    }
    wire::gossip reply;
    for (const wire::slot_request& request : requests) {
        reply.slot_replies.push_back(upstreams_.decide_slot_request(requester, request));
    }
    add_usage(reply, requester, false);
    record_bytes(control_traffic::gossip, channel_.send(reply, *address));
}

void control_plane::state::handle_slot_reply(const wire::slot_reply& reply, time_point now) {
    const auto pending = pending_reservations_.find(reply.nonce);
    if (pending == pending_reservations_.end()) {
        return;
    }
    upstreams_.record_remote_in_flight(reply.upstream, reply.in_flight, now);
    pending->second->decision = reply.granted ? slot_decision::granted : slot_decision::denied;
    pending->second->timer.cancel();
}

void control_plane::state::handle_reports(const std::vector<wire::report_entry>& reports, time_point now) {
    for (const wire::report_entry& report : reports) {
        const upstream_observation seen{.reachable = report.reachable,
                                        .in_flight = static_cast<double>(report.in_flight),
                                        .at = now - std::chrono::milliseconds{report.age}};
        const bool was_reachable = upstreams_.is_reachable(report.upstream);
        const bool is_new = upstreams_.observe(report.upstream, seen);
        const bool is_large = members_.live(now).size() > control_timing::max_full_mesh_peers;
        if (is_new && is_large && was_reachable != seen.reachable) {
            pending_reports_[report.upstream] = seen;
            urgent_ = true;
        }
    }
}

task<void> control_plane::state::gossip_loop() {
    while (true) {
        co_await sleep_for(control_timing::gossip_interval);
        const auto now = clock::now();
        upstreams_.remove_peers(members_.silent(now));
        upstreams_.remove_peers(members_.remove_silent(now));
        if (count_owners_stale_ || now - count_owners_assigned_at_ >= control_timing::count_owner_interval) {
            assign_count_owners(now);
        }
        upstreams_.set_silent_domains(members_.silent_domains(now));
        upstreams_.refresh_estimates(members_.silent(now).empty(), now);
        count_platform_bytes();
        gossip_if_due(now);
    }
}

void control_plane::state::gossip_if_due(time_point now) {
    pending_suspects_ = suspects_.take_updates(now);
    urgent_ = urgent_ || !pending_suspects_.empty();
    const bool refresh = now - last_refresh_at_ >= control_timing::refresh_interval;
    const bool is_due = urgent_ || refresh || version_rounds_left_ > 0 ||
                        now - last_gossip_at_ >= control_timing::heartbeat_interval;
    if (is_due || (announce_members_ && budget_.take(0.0, now))) {
        gossip_to_fleet(refresh, now);
    }
    const bool usage_is_due =
        now - last_usage_at_ >= control_timing::usage_interval && budget_.take(0.0, now);
    if (refresh || usage_is_due) {
        send_usage(refresh);
        last_usage_at_ = now;
    }
}

void control_plane::state::gossip_to_fleet(bool refresh, time_point now) {
    wire::gossip message;
    message.counts = upstreams_.owned_counts();
    message.suspects = std::exchange(pending_suspects_, {});
    message.suspect_digest = suspects_.digest(now);
    add_members(message, refresh);
    add_reports(message, now);
    add_leaving_marks(message, refresh);
    add_versions(message, refresh);
    std::vector<endpoint> targets;
    for (const member* other : members_.select_gossip_targets(now)) {
        targets.push_back(other->address);
    }
    if (announce_members_ || refresh || targets.empty()) {
        add_silent_seeds(targets, now);
    }
    for (const endpoint& target : targets) {
        record_bytes(control_traffic::gossip, channel_.send(message, target));
    }
    last_gossip_at_ = now;
    last_refresh_at_ = refresh ? now : last_refresh_at_;
    urgent_ = false;
    announce_members_ = false;
}

void control_plane::state::add_usage(wire::gossip& message, std::uint64_t count_owner, bool refresh) {
    for (const wire::usage_entry& entry : upstreams_.local_usage()) {
        auto& sent = sent_usage_[entry.upstream];
        const bool changed = sent != entry.in_flight || (refresh && entry.in_flight > 0);
        if (changed && upstreams_.count_owner(entry.upstream) == count_owner) {
            message.usage.push_back(entry);
            sent = entry.in_flight;
        }
    }
}

void control_plane::state::send_usage(bool refresh) {
    for (const member* other : members_.live_in_region(clock::now())) {
        wire::gossip message;
        add_usage(message, other->hash, refresh);
        if (!message.usage.empty()) {
            record_bytes(control_traffic::gossip, channel_.send(message, other->address));
        }
    }
}

void control_plane::state::assign_count_owners(time_point now) {
    count_owners_assigned_at_ = now;
    count_owners_stale_ = false;
    const auto region = members_.live_in_region(now);
    const auto count_owner = [&](std::uint64_t upstream) {
        return assigned_router(upstream, members_.self_hash(), region);
    };
    for (const std::uint32_t upstream : upstreams_.assign_count_owners(count_owner, members_.self_hash())) {
        sent_usage_.erase(upstream);
    }
}

void control_plane::state::add_silent_seeds(std::vector<endpoint>& targets, time_point now) {
    std::set<endpoint> live_addresses;
    for (const member* other : members_.live(now)) {
        live_addresses.insert(other->address);
    }
    std::ranges::copy_if(settings_.seeds, std::back_inserter(targets), [&](const endpoint& seed) {
        return to_text(seed) != settings_.advertised_address && !live_addresses.contains(seed) &&
               std::ranges::find(targets, seed) == targets.end();
    });
}

void control_plane::state::add_members(wire::gossip& message, bool refresh) {
    const bool is_large = members_.live(clock::now()).size() > control_timing::max_full_mesh_peers;
    if (refresh || announce_members_ || urgent_ || is_large) {
        message.members.push_back(members_.self());
        if (const auto other = members_.next_record_to_gossip()) {
            message.members.push_back(*other);
        }
    }
}

void control_plane::state::add_reports(wire::gossip& message, time_point now) {
    while (!pending_reports_.empty() && message.reports.size() < control_timing::max_reports_per_message) {
        const auto [upstream, seen] = *pending_reports_.begin();
        pending_reports_.erase(pending_reports_.begin());
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - seen.at).count();
        message.reports.push_back(
            {upstream, static_cast<std::uint16_t>(std::clamp(seen.in_flight, 0.0, 65'535.0)),
             static_cast<std::uint16_t>(std::clamp<std::int64_t>(age, 0, 65'535)), seen.reachable});
    }
}

void control_plane::state::add_versions(wire::gossip& message, bool refresh) {
    for (const auto kind : {document_kind::configuration, document_kind::vm_list}) {
        const std::uint64_t generation = documents_.generation(kind);
        if (generation != 0 && (refresh || version_rounds_left_ > 0)) {
            message.documents.push_back({kind, generation});
        }
    }
    version_rounds_left_ = std::max(0, version_rounds_left_ - 1);
}

void control_plane::state::apply_vm_list(const std::vector<listed_vm>& vms) {
    const auto now = clock::now();
    upstreams_.apply_vm_list(vms, now);
    for (const listed_vm& vm : vms) {
        if (vm.is_router) {
            members_.merge({.vm = vm.name,
                            .region = vm.region,
                            .failure_domain = vm.failure_domain,
                            .fleet_address = to_text(vm.address)},
                           now);
        }
    }
    count_owners_stale_ = true;
    log_info("vm_list_applied", {{"vms", std::to_string(vms.size())}});
    announce_versions();
}

task<void> control_plane::state::probe_loop() {
    while (true) {
        const auto region = members_.live_in_region(clock::now());
        auto targets = upstreams_.probe_targets();
        std::erase_if(targets, [&](const upstream_table::probe_target& target) {
            return !is_assigned(target.hash, members_.self_hash(), region,
                                control_timing::probers_per_upstream);
        });
        prober_.probe(targets);
        const bool nothing_known = targets.empty();
        const duration pause =
            nothing_known ? control_timing::gossip_interval : duration{settings_.probe_interval};
        co_await sleep_for(pause);
    }
}

task<void> control_plane::state::view_loop() {
    while (true) {
        co_await sleep_for(control_timing::view_interval);
        const auto now = clock::now();
        if (view_changed_ || now - view_published_at_ >= control_timing::heartbeat_interval) {
            publish(now);
            claims_.expire(now);
            suspects_.expire(now);
        }
    }
}

void control_plane::state::publish(time_point now) {
    const auto live = members_.live(now).size();
    auto next = std::make_shared<fleet_view>();
    next->config = config_;
    next->upstreams = upstreams_.view(now);
    next->live_routers = live + 1;
    view_.store(std::move(next));
    view_changed_ = false;
    view_published_at_ = now;
}

} // namespace citronwick
