// Relays reservations of routers that are no members.
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
    reservation fresh;
    fresh.request = item;
    fresh.request.sponsored = true;
    fresh.deadline = now + item.remaining;
    fresh.listener.on_grant = [this, key](const grant_item& grant) { this->on_grant(key, grant); };
    fresh.listener.on_full = [this, key](no_capacity_item full) {
        full.number = key.second;
        full.sponsored = true;
        this->mailbox.to(key.first).no_capacity.push_back(full);
        if (full.queued)
            return;
        const auto ended = this->entries.extract(key);
        if (!ended.empty())
            this->starter.finish(ended.mapped().number, admission::release::result::not_sent, {});
    };
    this->entries[key].number = this->starter.start(std::move(fresh));
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
    const auto ended = this->entries.extract(holder{from, item.number});
    if (ended.empty())
        return false;
    this->starter.finish(ended.mapped().number, item.result, item.first_byte);
    return true;
}

void share_sponsor::on_over(helpers::router_id id) {
    std::vector<holder> ended;
    for (const auto& [key, entry] : this->entries) {
        if (key.first == id)
            ended.push_back(key);
    }
    for (const auto& key : ended)
        this->on_finish(key.first, {{}, key.second, admission::release::result::cancelled, {}});
}

void share_sponsor::forget(reservation_number number) {
    std::erase_if(this->entries, [&](const auto& item) { return item.second.number == number; });
}

} // namespace samphirespool::ownership
