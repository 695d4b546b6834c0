// Order of the writes, and the merge of two writers' objects.
#include "exchange/origin_ring.hpp"

#include "exchange/stream_origins.hpp"

#include <algorithm>

namespace samphirespool::exchange {

static_assert(origin_ring::object_count * origin_ring::object_capacity >
              stream_origins::max_origins + origin_ring::object_capacity);

void origin_ring::load(const std::vector<stored_object>& stored) {
    this->objects = {};
    this->known.clear();
    for (const auto& each : stored) {
        if (each.index >= object_count)
            continue;
        this->objects.at(each.index) = {each.revision, each.records};
        for (const auto& record : each.records)
            this->known.insert(record.attempt);
    }
    this->start_oldest_object();
    this->in_write = 0;
    std::erase_if(this->queue,
                  [this](const auto& each) { return !this->known.insert(each.attempt).second; });
}

void origin_ring::clear() {
    this->queue.clear();
    this->load({});
}

void origin_ring::add(const stream_origin& record) {
    // Records that have waited for so long are beyond the lifetime of their streams.
    if (this->queue.size() >= stream_origins::max_origins || this->known.contains(record.attempt))
        return;
    this->known.insert(record.attempt);
    this->queue.push_back(record);
}

// The object that was changed least recently, as far as this writer knows; objects that do not
// exist come first. If another writer has changed it since, the write conflicts.
void origin_ring::start_oldest_object() {
    const auto oldest =
        std::min_element(this->objects.begin(), this->objects.end(),
                         [](const object& a, const object& b) { return a.revision < b.revision; });
    this->current = static_cast<std::size_t>(oldest - this->objects.begin());
    this->starts_object = true;
}

void origin_ring::forget(const stream_origin_list& records) {
    for (const auto& each : records)
        this->known.erase(each.attempt);
}

std::optional<origin_ring::stored_object> origin_ring::next_write() {
    if (this->queue.empty())
        return std::nullopt;
    if (!this->starts_object && this->objects.at(this->current).records.size() >= object_capacity)
        this->start_oldest_object();
    const auto& object = this->objects.at(this->current);
    stored_object result{this->current, object.revision, {}};
    if (!this->starts_object)
        result.records = object.records;
    this->in_write = std::min(object_capacity - result.records.size(), this->queue.size());
    result.records.insert(result.records.end(), this->queue.begin(),
                          this->queue.begin() + static_cast<std::ptrdiff_t>(this->in_write));
    return result;
}

void origin_ring::on_written(std::uint64_t revision) {
    auto& object = this->objects.at(this->current);
    object.revision = revision;
    if (this->starts_object) {
        this->forget(object.records);
        object.records.clear();
    }
    this->starts_object = false;
    for (; this->in_write > 0; --this->in_write) {
        object.records.push_back(this->queue.front());
        this->known.insert(this->queue.front().attempt);
        this->queue.pop_front();
    }
}

void origin_ring::on_conflict(std::uint64_t revision, const stream_origin_list& stored) {
    auto& object = this->objects.at(this->current);
    auto former = std::move(object.records);
    this->forget(former);
    object = {revision, stored};
    if (object.records.size() > object_capacity)
        object.records.resize(object_capacity);
    std::unordered_set<std::uint64_t> present;
    for (const auto& each : object.records)
        present.insert(each.attempt);
    std::erase_if(this->queue,
                  [&present](const auto& each) { return present.contains(each.attempt); });
    // Records that the other writer has overwritten are written again, unless their turn to be
    // overwritten had come.
    if (!this->starts_object)
        for (const auto& each : former)
            if (!present.contains(each.attempt)) {
                this->queue.push_front(each);
                this->known.insert(each.attempt);
            }
    this->known.insert(present.begin(), present.end());
    this->starts_object = false;
    this->in_write = 0;
}

} // namespace samphirespool::exchange
