// Grants to other routers that this router keeps in mind: as a witness, or because it granted them
// when it owned the shard.
#pragma once

#include "ownership/message.hpp"

#include <map>
#include <utility>
#include <vector>

namespace samphirespool::ownership {

class record_book {
public:
    void add(shard_id shard, const outstanding_grant& record, helpers::time_point now) {
        this->shards[shard][{record.requester, record.number}] = {record, now + record.remaining};
    }
    void drop(shard_id shard, helpers::router_id requester, reservation_number number) {
        const auto found = this->shards.find(shard);
        if (found != this->shards.end())
            found->second.erase({requester, number});
    }
    void append_to(std::vector<outstanding_grant>& records, shard_id shard,
                   helpers::time_point now) const {
        const auto found = this->shards.find(shard);
        if (found == this->shards.end())
            return;
        for (const auto& [key, entry] : found->second) {
            if (entry.ends <= now)
                continue;
            records.push_back(entry.record);
            records.back().remaining = entry.ends - now;
        }
    }
    void forget_ended(helpers::time_point now) {
        for (auto& [shard, entries] : this->shards)
            std::erase_if(entries, [&](const auto& item) { return item.second.ends <= now; });
        std::erase_if(this->shards, [](const auto& item) { return item.second.empty(); });
    }
    std::size_t size() const {
        std::size_t count = 0;
        for (const auto& [shard, entries] : this->shards)
            count += entries.size();
        return count;
    }

private:
    struct entry {
        outstanding_grant record;
        helpers::time_point ends;
    };
    std::map<shard_id, std::map<std::pair<helpers::router_id, reservation_number>, entry>> shards;
};

} // namespace samphirespool::ownership
