// The reservations that this router asked for and has not ended: the truth about what it has in
// use, whoever granted it.
#pragma once

#include "ownership/message.hpp"

#include <functional>
#include <map>
#include <vector>

namespace samphirespool::ownership {

struct reservation {
    reserve_item request;
    helpers::time_point deadline;
    // Last time that the request was sent to an owner.
    helpers::time_point asked_at;
    bool queued = false;
    bool granted = false;
    helpers::target_id target;
    std::uint64_t incarnation = 0;
    std::uint32_t allowance = 0;

    struct events {
        std::function<void(const grant_item&)> on_grant;
        std::function<void(const no_capacity_item&)> on_full;
    } listener;
};

class reservation_table {
public:
    // Numbers of two lives of a router differ.
    explicit reservation_table(helpers::incarnation incarnation)
        : last_number(mix(incarnation.value) << 24) {}

    reservation& add(reservation fresh) {
        fresh.request.number = ++this->last_number;
        return this->entries.emplace(this->last_number, std::move(fresh)).first->second;
    }
    // Takes over a reservation under its number from a table of the same router.
    reservation& adopt(reservation_number number, reservation_table& from) {
        return this->entries.insert(from.entries.extract(number)).position->second;
    }
    reservation* find(reservation_number number) {
        const auto found = this->entries.find(number);
        return found == this->entries.end() ? nullptr : &found->second;
    }
    void erase(reservation_number number) { this->entries.erase(number); }
    std::map<reservation_number, reservation>& all() { return this->entries; }
    const std::map<reservation_number, reservation>& all() const { return this->entries; }

private:
    reservation_number last_number;
    std::map<reservation_number, reservation> entries;
};

} // namespace samphirespool::ownership
