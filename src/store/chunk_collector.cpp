// Lists the chunks, then reads the root, and deletes the chunks that the tracker returns.
#include "store/chunk_collector.hpp"

#include "config/stored_root.hpp"

#include <algorithm>
#include <set>

namespace samphirespool::store {

chunk_collector::chunk_collector(kernel::loop& loop, object_store& objects,
                                 const chunk_collector_settings& settings)
    : loop(loop),
      objects(objects),
      settings(settings),
      tracker(settings.grace),
      alive(std::make_shared<bool>(true)) {}

chunk_collector::~chunk_collector() = default;

void chunk_collector::tick(bool is_collector) {
    const auto now = this->loop.time().now();
    if (!is_collector || this->is_running || now < this->next_run)
        return;
    this->is_running = true;
    this->next_run = now + this->settings.interval;
    this->objects.list(config::chunk_prefix,
                       [this, token = std::weak_ptr<bool>(this->alive)](const list_result& listed) {
                           if (!token.expired())
                               this->on_listed(listed);
                       });
}

void chunk_collector::on_listed(const list_result& listed) {
    if (listed.status != store_status::ok) {
        this->is_running = false;
        return;
    }
    this->objects.read(config::root_key,
                       [this, objects = listed.objects,
                        token = std::weak_ptr<bool>(this->alive)](const read_result& root) {
                           if (!token.expired())
                               this->on_root(objects, root);
                       });
}

void chunk_collector::on_root(const std::vector<object>& listed, const read_result& root) {
    this->is_running = false;
    const auto parsed = config::parse_root(root.entry.value);
    if (root.status != store_status::ok || !parsed)
        return;
    const std::set<std::string_view> referenced(parsed->chunks.begin(), parsed->chunks.end());
    const auto is_referenced = [&referenced](std::string_view key) {
        key.remove_prefix(config::chunk_prefix.size());
        return referenced.contains(key);
    };
    auto deletable =
        this->tracker.observe(listed, is_referenced, root.entry.version, this->loop.time().now());
    deletable.resize(std::min(deletable.size(), this->settings.max_deletions));
    for (const auto& chunk : deletable)
        this->objects.remove(chunk.key, chunk.version, [](const write_result&) {});
}

} // namespace samphirespool::store
