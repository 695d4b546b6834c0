// Rebuilds the list of peers whenever the membership changes.
#include "router/member_directory.hpp"

namespace samphirespool::router {

namespace {

config::peer_router peer_of(const membership::member_record& record) {
    return {record.name, record.region, record.address};
}

} // namespace

member_directory::member_directory(membership::membership_view& view)
    : view(view), self_router(peer_of(view.self())) {
    view.on_change([this](helpers::router_id, const membership::member*) { this->update_peers(); });
    this->update_peers();
}

void member_directory::update_peers() {
    this->peer_routers.clear();
    for (const auto& [id, member] : this->view.members())
        if (member.is_live() && id != this->view.self().id)
            this->peer_routers.push_back(peer_of(member.record));
}

} // namespace samphirespool::router
