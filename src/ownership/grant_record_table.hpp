// Records of grants to other routers, by shard, that this router keeps as a witness or as a former
// owner of the shard. The next owner learns them when this router registers with it.
#pragma once

#include "ownership/message.hpp"

#include <map>
#include <utility>
#include <vector>

namespace samphirespool::ownership {

class grant_record_table {
public:
    void add(shard_id shard, const outstanding_grant& record, helpers::time_point now) {
        this->shards[shard][{record.requester, record.number}] = {record, now + record.remaining};
    }
    void remove(shard_id shard, helpers::router_id requester, reservation_number number) {
        const auto found = this->shards.find(shard);
        if (found != this->shards.end())
            found->second.erase({requester, number});
    }
    // Appends the unexpired records of the shard, with the time that remains for each.
    void append_to(std::vector<outstanding_grant>& records, shard_id shard,
                   helpers::time_point now) const {
        const auto found = this->shards.find(shard);
        if (found == this->shards.end())
            return;
        for (const auto& [key, entry] : found->second) {
            if (entry.expires_at <= now)
                continue;
            records.push_back(entry.record);
            records.back().remaining = entry.expires_at - now;
        }
    }
    void remove_expired(helpers::time_point now) {
        for (auto& [shard, entries] : this->shards)
            std::erase_if(entries, [&](const auto& item) { return item.second.expires_at <= now; });
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
        helpers::time_point expires_at;
    };
    std::map<shard_id, std::map<std::pair<helpers::router_id, reservation_number>, entry>> shards;
};

} // namespace samphirespool::ownership
