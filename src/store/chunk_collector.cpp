// Lists the chunks, reads the root after that, and deletes what the tracker lets go.
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
                               this->take_list(listed);
                       });
}

void chunk_collector::take_list(const list_result& listed) {
    if (listed.status != store_status::ok) {
        this->is_running = false;
        return;
    }
    this->objects.read(config::root_key,
                       [this, objects = listed.objects,
                        token = std::weak_ptr<bool>(this->alive)](const read_result& root) {
                           if (!token.expired())
                               this->take_root(objects, root);
                       });
}

void chunk_collector::take_root(const std::vector<object>& listed, const read_result& root) {
    this->is_running = false;
    const auto parsed = config::parse_root(root.entry.value);
    if (root.status != store_status::ok || !parsed)
        return;
    const std::set<std::string_view> named(parsed->chunks.begin(), parsed->chunks.end());
    const auto is_named = [&named](std::string_view key) {
        key.remove_prefix(config::chunk_prefix.size());
        return named.contains(key);
    };
    auto deletable =
        this->tracker.observe(listed, is_named, root.entry.version, this->loop.time().now());
    deletable.resize(std::min(deletable.size(), this->settings.max_deletions));
    for (const auto& each : deletable)
        this->objects.remove(each.key, each.version, [](const write_result&) {});
}

} // namespace samphirespool::store
