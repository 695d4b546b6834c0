// Timers, received frames and the store calls of the roster.
#include "router/membership_service.hpp"

#include <array>
#include <string>

namespace samphirespool::router {

namespace {

using membership::roster_store_outcome;

roster_store_outcome outcome_of(store::store_status status) {
    switch (status) {
    case store::store_status::ok:
        return roster_store_outcome::ok;
    case store::store_status::not_found:
        return roster_store_outcome::not_found;
    case store::store_status::conflict:
        return roster_store_outcome::conflict;
    case store::store_status::rejected:
    case store::store_status::unknown:
        break;
    }
    return roster_store_outcome::failed;
}

std::string name_of(membership::member_health health) {
    constexpr std::array names{"alive", "suspect", "dead", "gone", "left"};
    return names.at(static_cast<std::size_t>(health));
}

} // namespace

membership_service::membership_service(kernel::loop& loop, kernel::random_source& random,
                                       wire::peer_transport& transport, store::object_store& store,
                                       kernel::event_sink& events,
                                       const membership::member_record& self,
                                       std::vector<helpers::endpoint> seeds)
    : loop(loop),
      store(store),
      events(events),
      outbox(transport),
      table(loop.time(), self),
      detector(loop.time(), random, this->outbox, this->table, std::move(seeds)),
      rosters(loop.time(), this->table, this->outbox) {
    transport.set_receiver(wire::frame_kind::membership, [this](const auto& from, auto payload) {
        const auto received = wire::decode_membership(payload);
        if (!received)
            return;
        this->detector.on_message(from, *received);
        this->rosters.on_message(from, *received);
    });
    this->table.on_change([this](auto id, const auto* member) { this->log_change(id, member); });
    this->timer = loop.schedule(helpers::duration::zero(), [this] { this->tick(); });
}

membership_service::~membership_service() {
    this->loop.cancel(this->timer);
}

void membership_service::announce(membership::member_state state) {
    this->table.change_self(state, membership::member_health::alive);
}

void membership_service::set_configuration(config::configuration_version version) {
    this->detector.set_configuration(version);
}

void membership_service::leave() {
    this->loop.cancel(this->timer);
    this->timer = 0;
    this->detector.leave();
}

void membership_service::tick() {
    this->timer = this->loop.schedule(tick_period, [this] { this->tick(); });
    this->detector.tick();
    this->rosters.tick();
    this->serve_roster();
}

void membership_service::serve_roster() {
    const auto call = this->rosters.next_call();
    if (!call)
        return;
    if (call->write)
        this->write_roster(*call);
    else
        this->read_roster(*call);
}

void membership_service::read_roster(const membership::roster_store_call& call) {
    this->store.read(call.key, [this](const store::read_result& reply) {
        this->rosters.on_store_reply(outcome_of(reply.status), reply.entry.version,
                                     reply.entry.value);
    });
}

void membership_service::write_roster(const membership::roster_store_call& call) {
    this->store.write(call.key, call.expected_version, call.value,
                      [this](const store::write_result& reply) {
                          this->rosters.on_store_reply(outcome_of(reply.status), reply.version, {});
                      });
}

void membership_service::log_change(helpers::router_id id, const membership::member* member) {
    if (member == nullptr) {
        this->events.write(kernel::severity::info, "member.forgotten", std::nullopt,
                           {{"router", id.value}});
        return;
    }
    this->events.write(kernel::severity::info, "member.changed", std::nullopt,
                       {{"router", member->record.name},
                        {"health", name_of(member->record.health)},
                        {"life", member->record.incarnation.value}});
}

} // namespace samphirespool::router
