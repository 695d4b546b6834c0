// The reservations that this router requested and has not finished, whichever owner granted them.
// This table, not the owner's records, is authoritative for what the router has in use.
#pragma once

#include "ownership/message.hpp"

#include <functional>
#include <map>
#include <vector>

namespace samphirespool::ownership {

struct reservation {
    reserve_item request;
    helpers::time_point deadline;
    // Last time that the request was sent to an owner or a sponsor.
    helpers::time_point sent_at;
    // Waits in the owner's queue.
    bool queued = false;
    bool granted = false;
    // This field and the next two are set once granted.
    helpers::target_id target;
    std::uint64_t incarnation = 0;
    std::uint32_t allowance = 0;

    struct events {
        std::function<void(const grant_item&)> on_grant;
        std::function<void(const no_capacity_item&)> on_no_capacity;
    } listener;
};

class reservation_table {
public:
    // Seeds the numbers, so that two incarnations of a router use different ones.
    explicit reservation_table(helpers::incarnation incarnation)
        : last_number(mix(incarnation.value) << 24) {}

    // Stores the reservation under the next number.
    reservation& add(reservation added) {
        added.request.number = ++this->last_number;
        return this->by_number.emplace(this->last_number, std::move(added)).first->second;
    }
    // Moves a reservation from another table of the same router and keeps its number.
    reservation& adopt(reservation_number number, reservation_table& from) {
        return this->by_number.insert(from.by_number.extract(number)).position->second;
    }
    reservation* find(reservation_number number) {
        const auto found = this->by_number.find(number);
        return found == this->by_number.end() ? nullptr : &found->second;
    }
    void erase(reservation_number number) { this->by_number.erase(number); }
    std::map<reservation_number, reservation>& entries() { return this->by_number; }
    const std::map<reservation_number, reservation>& entries() const { return this->by_number; }

private:
    reservation_number last_number;
    std::map<reservation_number, reservation> by_number;
};

} // namespace samphirespool::ownership
