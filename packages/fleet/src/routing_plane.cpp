#include "citronwick/fleet/routing_plane.hpp"

#include "routing_plane_state.hpp"

namespace citronwick {

routing_plane::routing_plane(routing_settings settings, const platform_adapter& adapter)
    : state_{std::make_unique<state>(std::move(settings), adapter)} {}

routing_plane::~routing_plane() {
    stop();
}

io_result<endpoint> routing_plane::start(const endpoint& listen) {
    return state_->start(listen);
}

void routing_plane::leave() {
    state_->leave();
}

void routing_plane::stop() {
    state_->stop();
}

std::shared_ptr<const routing_view> routing_plane::view() const {
    return state_->view();
}

const routing_settings& routing_plane::settings() const {
    return state_->settings();
}

bool routing_plane::keys_are_fresh(boot_time now) const {
    return state_->keys_are_fresh(now);
}

std::optional<duration> routing_plane::key_age(boot_time now) const {
    return state_->key_age(now);
}

upstream_observations& routing_plane::observations() {
    return state_->observations();
}

suspect_registry& routing_plane::suspects() {
    return state_->suspects();
}

reach_monitor& routing_plane::reach() {
    return state_->reach();
}

const reach_monitor& routing_plane::reach() const {
    return state_->reach();
}

begun_streams& routing_plane::streams() {
    return state_->streams();
}

stream_numberings& routing_plane::numberings() {
    return state_->numberings();
}

last_events& routing_plane::ends() {
    return state_->ends();
}

early_closers& routing_plane::early_closes() {
    return state_->early_closes();
}

void routing_plane::ask_stream_version(std::uint64_t key,
                                       std::function<void(std::optional<std::uint32_t>)> reply) {
    state_->ask_stream_version(key, std::move(reply));
}

void routing_plane::request_confirmation(boot_time since, std::function<void(bool)> reply) {
    state_->request_confirmation(since, std::move(reply));
}

upstream_limits& routing_plane::limits() {
    return state_->limits();
}

const upstream_limits& routing_plane::limits() const {
    return state_->limits();
}

void routing_plane::request_permit(std::uint64_t upstream, double saving_ms,
                                   std::function<void(permit_decision)> reply) {
    state_->request_permit(upstream, saving_ms, std::move(reply));
}

void routing_plane::borrow_place(std::uint64_t lender, std::uint64_t upstream, duration lifetime,
                                 std::function<void(std::shared_ptr<const borrowed_place>)> reply) {
    state_->borrow_place(lender, upstream, lifetime, std::move(reply));
}

void routing_plane::report_broken_connection(std::vector<crash_suspect> suspects, std::uint64_t upstream) {
    state_->report_broken_connection(std::move(suspects), upstream);
}

void routing_plane::report_leaving_upstream(std::uint64_t upstream) {
    state_->report_leaving_upstream(upstream);
}

void routing_plane::report_refusing_upstream(std::uint64_t upstream) {
    state_->report_refusing_upstream(upstream);
}

const kv_call_counts& routing_plane::store_calls() const {
    return state_->store_calls();
}

std::uint64_t routing_plane::gossip_bytes() const {
    return state_->gossip_bytes();
}

} // namespace citronwick
