// Relays reservations of routers outside the roster.
#include "ownership/share_sponsor.hpp"

#include <vector>

namespace samphirespool::ownership {

void share_sponsor::on_reserve(helpers::router_id from, const reserve_item& item,
                               helpers::time_point now) {
    const holder key{from, item.number};
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        if (found->second.granted)
            this->mailbox.to(from).grants.push_back(found->second.grant);
        return;
    }
    reservation added;
    added.request = item;
    added.request.sponsored = true;
    added.deadline = now + item.remaining;
    added.listener.on_grant = [this, key](const grant_item& grant) { this->on_grant(key, grant); };
    added.listener.on_no_capacity = [this, key](no_capacity_item rejection) {
        rejection.number = key.second;
        rejection.sponsored = true;
        this->mailbox.to(key.first).no_capacity.push_back(rejection);
        if (rejection.queued)
            return;
        const auto removed = this->entries.extract(key);
        if (!removed.empty())
            this->starter.finish(removed.mapped().number, admission::release::result::not_sent, {});
    };
    this->entries[key].number = this->starter.start(std::move(added));
}

void share_sponsor::on_grant(const holder& key, grant_item grant) {
    grant.number = key.second;
    grant.sponsored = true;
    auto& entry = this->entries[key];
    entry.granted = true;
    entry.grant = grant;
    this->mailbox.to(key.first).grants.push_back(grant);
}

bool share_sponsor::on_finish(helpers::router_id from, const finish_item& item) {
    const auto removed = this->entries.extract(holder{from, item.number});
    if (removed.empty())
        return false;
    this->starter.finish(removed.mapped().number, item.result, item.first_byte);
    return true;
}

void share_sponsor::on_router_stopped(helpers::router_id id) {
    std::vector<holder> removed;
    for (const auto& [key, entry] : this->entries) {
        if (key.first == id)
            removed.push_back(key);
    }
    for (const auto& key : removed)
        this->on_finish(key.first, {{}, key.second, admission::release::result::cancelled, {}});
}

void share_sponsor::remove(reservation_number number) {
    std::erase_if(this->entries, [&](const auto& item) { return item.second.number == number; });
}

} // namespace samphirespool::ownership
