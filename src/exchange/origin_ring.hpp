// The records of one group's streams in the store: a ring of objects, each of which holds a number
// of records. The current object is rewritten while it has room; then the one that was changed
// least recently is overwritten. With one writer that is the next in turn; with two, the one after
// the latest object may hold the other one's latest records.
#pragma once

#include "exchange/message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

namespace samphirespool::exchange {

class origin_ring {
public:
    // Together more than stream_origins::max_origins.
    static constexpr std::size_t object_count = 192;
    static constexpr std::size_t object_capacity = 128;

    struct stored_object {
        std::size_t index = 0;
        std::uint64_t revision = 0;
        stream_origin_list records;
    };

    // Replaces the content by what the store holds; records that wait to be written are kept.
    // Writing continues with an object that does not exist, or with the oldest one.
    void load(const std::vector<stored_object>& stored);
    void clear();

    // Has no effect if the record is in the ring or waits to be written.
    void add(const stream_origin& record);

    // The next object to write, whose revision in the store is 0 if it does not exist there. Empty
    // if nothing waits. One of the following functions states the result; after a failure without
    // one, the same records are returned again.
    std::optional<stored_object> next_write();
    void on_written(std::uint64_t revision);
    // Another writer has changed the object, which is merged with what this one writes.
    void on_conflict(std::uint64_t revision, const stream_origin_list& stored);
    void on_missing() { this->objects.at(this->current).revision = 0; }

    std::size_t waiting() const { return this->queue.size(); }

private:
    struct object {
        std::uint64_t revision = 0;
        stream_origin_list records;
    };

    void start_oldest_object();
    void forget(const stream_origin_list& records);

    std::array<object, object_count> objects;
    std::size_t current = 0;
    // The next write replaces all records of the current object.
    bool starts_object = true;
    // Records of the queue that the write in progress contains.
    std::size_t in_write = 0;
    std::deque<stream_origin> queue;
    // Attempts of the records in the objects and in the queue.
    std::unordered_set<std::uint64_t> known;
};

} // namespace samphirespool::exchange
