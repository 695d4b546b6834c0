// The steps of one change, from the reading of the root to its answer.
#include "store/change_writer.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace samphirespool::store {

namespace {

// Writes of one chunk whose answers were lost; its name is unique, so writing again is harmless.
constexpr int max_chunk_attempts = 4;
constexpr int max_doublings = 3;

} // namespace

struct change_writer::job {
    config::change_request wanted;
    change_done done;
    helpers::time_point deadline;
    config::change_plan plan;
    object_version expected = absent;
    std::size_t next_chunk = 0;
    std::size_t open_chunks = 0;
    bool chunk_failed = false;
    bool root_in_flight = false;
    // Expected version of an update of the root whose answer was lost and that may still take
    // effect.
    std::optional<object_version> lost_update;
    bool ended = false;
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
        this->waiting.push_back(this->running);
    for (const auto& work : this->waiting) {
        work->ended = true;
        this->loop.cancel(work->provisional_timer);
        this->loop.cancel(work->deadline_timer);
    }
}

void change_writer::submit(config::change_request wanted, change_done done) {
    auto work = std::make_shared<job>();
    work->wanted = std::move(wanted);
    work->done = std::move(done);
    if (work->wanted.request_id.empty())
        work->wanted.request_id = this->settings.writer + "-" + std::to_string(++this->last_nonce);
    if (this->waiting.size() >= this->settings.max_waiting) {
        work->done({config::change_status::not_accepted, 0, {}});
        return;
    }
    work->deadline = this->loop.time().now() + this->settings.deadline;
    work->deadline_timer =
        this->loop.schedule(this->settings.deadline, [this, work] { this->give_up(work); });
    this->arm_provisional(work);
    this->waiting.push_back(work);
    if (this->running == nullptr)
        this->start(work);
}

void change_writer::start(const job_ref& work) {
    this->running = work;
    std::erase(this->waiting, work);
    this->load(work);
}

// Only an unconditional leave mark may take effect before it is accepted.
void change_writer::arm_provisional(const job_ref& work) {
    const auto mark = config::as_provisional_mark(work->wanted, 0);
    if (!mark || work->wanted.if_version != 0)
        return;
    work->provisional_timer = this->loop.schedule(this->settings.provisional_delay,
                                                  [this, work] { this->hold_provisionally(work); });
}

bool change_writer::hold_provisionally(const job_ref& work) {
    if (work->provisional_timer == 0)
        return false;
    const auto mark = config::as_provisional_mark(work->wanted, this->loop.time().wall());
    this->manager.add_provisional(*mark);
    return this->manager.provisional().entries().contains(work->wanted.request_id);
}

void change_writer::load(const job_ref& work) {
    this->loader.load(this->source, [this, work](load_status status) {
        if (work->ended)
            return;
        if (status == load_status::failed) {
            this->hold_provisionally(work);
            this->retry(work);
            return;
        }
        this->take_loaded(work, status);
    });
}

void change_writer::take_loaded(const job_ref& work, load_status status) {
    const auto is_absent = status == load_status::absent;
    // A store that lost the root lost the chunks too: nothing is accepted on top of them.
    if (is_absent && this->manager.state().root.version != 0) {
        this->retry(work);
        return;
    }
    work->expected = is_absent ? absent : this->manager.state().object_version;
    // The update was conditional on a version that is gone, so it can no longer take effect.
    if (work->lost_update && *work->lost_update != work->expected)
        work->lost_update.reset();
    this->evaluate(work);
}

void change_writer::retry(const job_ref& work) {
    const auto delay = this->settings.retry_delay * (1 << std::min(work->retries++, max_doublings));
    this->loop.schedule(delay, [this, work] {
        if (!work->ended)
            this->load(work);
    });
}

void change_writer::evaluate(const job_ref& work) {
    const config::writer_stamp stamp{this->settings.writer, ++this->last_nonce,
                                     this->loop.time().wall()};
    work->plan = config::plan_change(this->manager.state(), work->wanted,
                                     this->manager.provisional(), stamp);
    if (work->plan.result) {
        this->end(work, *work->plan.result);
        return;
    }
    work->next_chunk = 0;
    work->chunk_failed = false;
    this->write_chunks(work);
}

void change_writer::write_chunks(const job_ref& work) {
    constexpr std::size_t max_open_writes = 8;
    while (work->next_chunk < work->plan.chunks.size() && work->open_chunks < max_open_writes &&
           !work->chunk_failed) {
        ++work->open_chunks;
        this->write_chunk(work, work->next_chunk++, 1);
    }
    if (work->open_chunks > 0)
        return;
    if (work->chunk_failed)
        this->retry(work);
    else
        this->write_root(work);
}

void change_writer::write_chunk(const job_ref& work, std::size_t index, int attempts) {
    const auto& chunk = work->plan.chunks[index];
    this->objects.write(
        chunk.key, absent, chunk.value, [this, work, index, attempts](const write_result& result) {
            if (work->ended)
                return;
            if (result.status == store_status::unknown && attempts < max_chunk_attempts) {
                this->write_chunk(work, index, attempts + 1);
                return;
            }
            // Names are unique: a conflict means that an earlier attempt of
            // this chunk took effect.
            const auto is_written = result.status == store_status::ok ||
                                    (result.status == store_status::conflict && attempts > 1);
            work->chunk_failed = work->chunk_failed || !is_written;
            --work->open_chunks;
            this->write_chunks(work);
        });
}

void change_writer::write_root(const job_ref& work) {
    this->objects.write(config::root_key, work->expected, work->plan.root_value,
                        [this, work](const write_result& result) {
                            if (!work->ended)
                                this->take_root_result(work, result);
                        });
    work->root_in_flight = true;
}

void change_writer::take_root_result(const job_ref& work, const write_result& result) {
    work->root_in_flight = false;
    if (result.status == store_status::unknown)
        work->lost_update = work->expected;
    if (result.status == store_status::ok) {
        auto next = std::move(work->plan.next);
        next.object_version = result.version;
        const auto version = next.root.version;
        this->manager.adopt(std::move(next));
        this->end(work, {config::change_status::accepted, version, {}});
        return;
    }
    if (result.status == store_status::rejected) {
        this->retry(work);
        return;
    }
    // After a conflict or a lost answer the root tells what happened.
    this->load(work);
}

void change_writer::give_up(const job_ref& work) {
    if (work->ended)
        return;
    auto status = work->root_in_flight || work->lost_update ? config::change_status::unknown
                                                            : config::change_status::not_accepted;
    if (this->hold_provisionally(work))
        status = config::change_status::in_effect_not_durable;
    this->end(work, {status, this->manager.state().root.version, {}});
}

void change_writer::end(const job_ref& work, config::change_result result) {
    work->ended = true;
    this->loop.cancel(work->provisional_timer);
    this->loop.cancel(work->deadline_timer);
    std::erase(this->waiting, work);
    if (this->running == work)
        this->running = nullptr;
    const auto done = std::move(work->done);
    if (this->running == nullptr && !this->waiting.empty()) {
        const auto next = this->waiting.front();
        this->start(next);
    }
    done(std::move(result));
}

} // namespace samphirespool::store
