#include "citronwick/control/control_plane.hpp"

#include "control_plane_state.hpp"

namespace citronwick {

control_plane::control_plane(control_settings settings, std::uint64_t incarnation)
    : state_{std::make_unique<state>(std::move(settings), incarnation)} {}

control_plane::~control_plane() {
    stop();
}

io_result<endpoint> control_plane::start() {
    return state_->start();
}

void control_plane::stop() {
    state_->stop();
}

void control_plane::leave() {
    state_->post([state = state_.get()] { state->leave(); });
}

std::shared_ptr<const fleet_view> control_plane::view() const {
    return state_->view();
}

void control_plane::report_connect_result(std::uint64_t upstream, bool succeeded) {
    state_->post([state = state_.get(), upstream, succeeded] {
        state->record_connect_result(short_hash(upstream), succeeded);
    });
}

void control_plane::report_load(std::uint64_t upstream, double in_flight, std::uint64_t incarnation,
                                bool leaving) {
    const upstream_observation seen{true, in_flight, incarnation, leaving, clock::now()};
    state_->post([state = state_.get(), upstream, seen] { state->observe(short_hash(upstream), seen); });
}

boost::asio::awaitable<slot_decision> control_plane::reserve_slot(std::uint64_t upstream,
                                                                  std::uint32_t limit) {
    return state_->reserve_slot(short_hash(upstream), limit);
}

boost::asio::any_io_executor control_plane::executor() const {
    return state_->executor();
}

claim_registry& control_plane::claims() {
    return state_->claims();
}

suspect_registry& control_plane::suspects() {
    return state_->suspects();
}

const control_meter& control_plane::meter() const {
    return state_->meter();
}

} // namespace citronwick
