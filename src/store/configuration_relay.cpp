// Runs the watch, the poll and the submission of provisional marks, one call of each at a time.
#include "store/configuration_relay.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::store {

namespace {

// Size of one VM or target in the platform's response, in bytes.
constexpr double vm_entry_bytes = 110;

} // namespace

configuration_relay::configuration_relay(kernel::loop& loop, kernel::random_source& random,
                                         object_store& objects,
                                         const config::peer_directory& directory,
                                         config::configuration_manager& manager,
                                         state_loader& loader, change_writer& writer,
                                         const relay_settings& settings)
    : loop(loop),
      random(random),
      objects(objects),
      directory(directory),
      manager(manager),
      loader(loader),
      writer(writer),
      source(objects),
      settings(settings),
      retry_delay(settings.min_retry),
      alive(std::make_shared<bool>(true)) {}

configuration_relay::~configuration_relay() = default;

void configuration_relay::on_vms(
    std::function<void(const std::vector<helpers::vm_entry>&)> listener) {
    this->vms_listener = std::move(listener);
}

void configuration_relay::tick() {
    this->active = config::is_relay(this->directory);
    if (!this->active)
        return;
    if (!this->is_watching)
        this->watch();
    if (!this->is_polling && this->loop.time().now() >= this->next_poll)
        this->poll_vms();
    if (!this->is_submitting_mark)
        this->submit_provisional_mark();
}

void configuration_relay::watch() {
    this->is_watching = true;
    this->objects.watch(config::root_key, this->seen_version, this->settings.max_watch,
                        [this, token = std::weak_ptr<bool>(this->alive)](read_result result) {
                            if (!token.expired())
                                this->on_watch_result(std::move(result));
                        });
}

void configuration_relay::on_watch_result(read_result result) {
    if (result.status == store_status::not_found && this->active) {
        this->watch();
        return;
    }
    if (result.status != store_status::ok) {
        this->schedule_watch();
        return;
    }
    const auto version = result.entry.version;
    source_reply root{source_status::found, std::move(result.entry.value), version};
    this->loader.load_root(
        this->source, std::move(root),
        [this, version, token = std::weak_ptr<bool>(this->alive)](load_status status) {
            if (token.expired())
                return;
            if (status != load_status::loaded) {
                this->schedule_watch();
                return;
            }
            this->seen_version = version;
            this->retry_delay = this->settings.min_retry;
            this->watch();
        });
}

void configuration_relay::schedule_watch() {
    const auto jitter = 0.5 + this->random.fraction();
    const auto delay = std::chrono::duration_cast<helpers::duration>(this->retry_delay * jitter);
    this->retry_delay = std::min(this->retry_delay * 2, this->settings.max_retry);
    this->loop.schedule(delay, [this, token = std::weak_ptr<bool>(this->alive)] {
        if (token.expired())
            return;
        this->is_watching = false;
        if (this->active)
            this->watch();
    });
}

void configuration_relay::poll_vms() {
    this->is_polling = true;
    this->objects.list_vms(
        [this, token = std::weak_ptr<bool>(this->alive)](const vm_list_result& result) {
            if (token.expired())
                return;
            this->is_polling = false;
            this->next_poll = this->loop.time().now() + this->poll_interval(result.vms);
            if (result.status == store_status::ok && this->vms_listener)
                this->vms_listener(result.vms);
        });
}

helpers::duration
configuration_relay::poll_interval(const std::vector<helpers::vm_entry>& vms) const {
    auto entries = vms.size();
    for (const auto& vm : vms)
        entries += vm.targets.size();
    const std::chrono::duration<double> interval(static_cast<double>(entries) * vm_entry_bytes /
                                                 this->settings.poll_bytes_per_second);
    return std::clamp(std::chrono::duration_cast<helpers::duration>(interval),
                      this->settings.min_poll, this->settings.max_poll);
}

// Any relay may submit a mark: its request id identifies a second submission as a retry.
void configuration_relay::submit_provisional_mark() {
    if (this->manager.provisional().empty() || this->writer.is_busy())
        return;
    const auto& mark = this->manager.provisional().entries().begin()->second;
    config::change_request request;
    request.request_id = mark.id;
    request.operator_name = "relay";
    if (mark.subject == config::mark_subject::data_centre)
        request.body = config::mark_data_centre{mark.name, config::mark_state::leaving};
    else
        request.body = config::mark_vm{mark.name, config::mark_state::leaving};
    this->is_submitting_mark = true;
    this->writer.submit(std::move(request), [this, token = std::weak_ptr<bool>(this->alive)](
                                                const config::change_result&) {
        if (!token.expired())
            this->is_submitting_mark = false;
    });
}

} // namespace samphirespool::store
