// The steps of one change, from reading the root to reporting the result.
#include "store/change_writer.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace samphirespool::store {

namespace {

// Attempts to write one chunk if replies are lost. Its name is unique, so a retry does no harm.
constexpr int max_chunk_attempts = 4;
// The retry delay doubles at most this many times.
constexpr int max_doublings = 3;

} // namespace

struct change_writer::change_job {
    config::change_request request;
    change_callback callback;
    helpers::time_point deadline;
    config::change_plan plan;
    // Version of the root object that the update replaces.
    object_version expected = absent;
    std::size_t next_chunk = 0;
    std::size_t chunks_in_flight = 0;
    bool chunk_failed = false;
    bool root_in_flight = false;
    // Expected version of an update of the root whose reply was lost and that may still take
    // effect.
    std::optional<object_version> unconfirmed_update;
    bool is_finished = false;
    int retries = 0;
    kernel::timer_id provisional_timer = 0;
    kernel::timer_id deadline_timer = 0;
};

change_writer::change_writer(kernel::loop& loop, object_store& objects,
                             config::configuration_manager& manager, state_loader& loader,
                             const change_writer_settings& settings)
    : loop(loop),
      objects(objects),
      manager(manager),
      loader(loader),
      source(objects),
      settings(settings) {}

change_writer::~change_writer() {
    if (this->running != nullptr)
        this->queue.push_back(this->running);
    for (const auto& job : this->queue) {
        job->is_finished = true;
        this->loop.cancel(job->provisional_timer);
        this->loop.cancel(job->deadline_timer);
    }
}

void change_writer::submit(config::change_request request, change_callback callback) {
    auto job = std::make_shared<change_job>();
    job->request = std::move(request);
    job->callback = std::move(callback);
    if (job->request.request_id.empty())
        job->request.request_id = this->settings.writer + "-" + std::to_string(++this->last_nonce);
    if (this->queue.size() >= this->settings.max_queued) {
        job->callback({config::change_status::not_accepted, 0, {}});
        return;
    }
    job->deadline = this->loop.time().now() + this->settings.deadline;
    job->deadline_timer =
        this->loop.schedule(this->settings.deadline, [this, job] { this->on_deadline(job); });
    this->schedule_provisional_mark(job);
    this->queue.push_back(job);
    if (this->running == nullptr)
        this->start(job);
}

void change_writer::start(const job_ptr& job) {
    this->running = job;
    std::erase(this->queue, job);
    this->load(job);
}

// Only a leave mark without a version condition may take effect before it is accepted.
void change_writer::schedule_provisional_mark(const job_ptr& job) {
    const auto mark = config::as_provisional_mark(job->request, 0);
    if (!mark || job->request.if_version != 0)
        return;
    job->provisional_timer = this->loop.schedule(this->settings.provisional_delay,
                                                 [this, job] { this->add_provisional_mark(job); });
}

bool change_writer::add_provisional_mark(const job_ptr& job) {
    if (job->provisional_timer == 0)
        return false;
    const auto mark = config::as_provisional_mark(job->request, this->loop.time().wall());
    this->manager.add_provisional(*mark);
    return this->manager.provisional().entries().contains(job->request.request_id);
}

void change_writer::load(const job_ptr& job) {
    this->loader.load(this->source, [this, job](load_status status) {
        if (job->is_finished)
            return;
        if (status == load_status::failed) {
            this->add_provisional_mark(job);
            this->retry(job);
            return;
        }
        this->on_loaded(job, status);
    });
}

void change_writer::on_loaded(const job_ptr& job, load_status status) {
    const auto is_absent = status == load_status::absent;
    // If the store has lost the root, it has lost the chunks too, so no change can be based on
    // them.
    if (is_absent && this->manager.state().root.version != 0) {
        this->retry(job);
        return;
    }
    job->expected = is_absent ? absent : this->manager.state().object_version;
    // The update was conditional on a version that has been replaced, so it can no longer take
    // effect.
    if (job->unconfirmed_update && *job->unconfirmed_update != job->expected)
        job->unconfirmed_update.reset();
    this->evaluate(job);
}

void change_writer::retry(const job_ptr& job) {
    const auto delay = this->settings.retry_delay * (1 << std::min(job->retries++, max_doublings));
    this->loop.schedule(delay, [this, job] {
        if (!job->is_finished)
            this->load(job);
    });
}

void change_writer::evaluate(const job_ptr& job) {
    const config::writer_stamp stamp{this->settings.writer, ++this->last_nonce,
                                     this->loop.time().wall()};
    job->plan = config::plan_change(this->manager.state(), job->request,
                                    this->manager.provisional(), stamp);
    if (job->plan.result) {
        this->finish(job, *job->plan.result);
        return;
    }
    job->next_chunk = 0;
    job->chunk_failed = false;
    this->write_chunks(job);
}

void change_writer::write_chunks(const job_ptr& job) {
    constexpr std::size_t max_concurrent_writes = 8;
    while (job->next_chunk < job->plan.chunks.size() &&
           job->chunks_in_flight < max_concurrent_writes && !job->chunk_failed) {
        ++job->chunks_in_flight;
        this->write_chunk(job, job->next_chunk++, 1);
    }
    if (job->chunks_in_flight > 0)
        return;
    if (job->chunk_failed)
        this->retry(job);
    else
        this->write_root(job);
}

void change_writer::write_chunk(const job_ptr& job, std::size_t index, int attempts) {
    const auto& chunk = job->plan.chunks[index];
    this->objects.write(
        chunk.key, absent, chunk.value, [this, job, index, attempts](const write_result& result) {
            if (job->is_finished)
                return;
            if (result.status == store_status::unknown && attempts < max_chunk_attempts) {
                this->write_chunk(job, index, attempts + 1);
                return;
            }
            // Names are unique, so a conflict means that an earlier attempt took effect.
            const auto is_written = result.status == store_status::ok ||
                                    (result.status == store_status::conflict && attempts > 1);
            job->chunk_failed = job->chunk_failed || !is_written;
            --job->chunks_in_flight;
            this->write_chunks(job);
        });
}

void change_writer::write_root(const job_ptr& job) {
    this->objects.write(config::root_key, job->expected, job->plan.root_value,
                        [this, job](const write_result& result) {
                            if (!job->is_finished)
                                this->on_root_written(job, result);
                        });
    job->root_in_flight = true;
}

void change_writer::on_root_written(const job_ptr& job, const write_result& result) {
    job->root_in_flight = false;
    if (result.status == store_status::unknown)
        job->unconfirmed_update = job->expected;
    if (result.status == store_status::ok) {
        auto next = std::move(job->plan.next);
        next.object_version = result.version;
        const auto version = next.root.version;
        this->manager.adopt(std::move(next));
        this->finish(job, {config::change_status::accepted, version, {}});
        return;
    }
    if (result.status == store_status::rejected) {
        this->retry(job);
        return;
    }
    // After a conflict or a lost reply, the root shows whether the change was accepted.
    this->load(job);
}

void change_writer::on_deadline(const job_ptr& job) {
    if (job->is_finished)
        return;
    auto status = job->root_in_flight || job->unconfirmed_update
                      ? config::change_status::unknown
                      : config::change_status::not_accepted;
    if (this->add_provisional_mark(job))
        status = config::change_status::in_effect_not_durable;
    this->finish(job, {status, this->manager.state().root.version, {}});
}

void change_writer::finish(const job_ptr& job, config::change_result result) {
    job->is_finished = true;
    this->loop.cancel(job->provisional_timer);
    this->loop.cancel(job->deadline_timer);
    std::erase(this->queue, job);
    if (this->running == job)
        this->running = nullptr;
    const auto callback = std::move(job->callback);
    if (this->running == nullptr && !this->queue.empty()) {
        const auto next = this->queue.front();
        this->start(next);
    }
    callback(std::move(result));
}

} // namespace samphirespool::store
