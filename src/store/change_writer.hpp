// Writes changes to the store one at a time: reads the root, evaluates the change, writes the
// changed chunks, and accepts the change by a conditional update of the root. After a conflict or a
// lost reply it starts again from reading the root, whose recent request ids show whether the
// change was accepted.
#pragma once

#include "config/configuration_manager.hpp"
#include "kernel/clock.hpp"
#include "kernel/loop.hpp"
#include "store/object_store.hpp"
#include "store/state_loader.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace samphirespool::store {

struct change_writer_settings {
    // Identifies this incarnation of the process, unique in the fleet and over restarts; part of
    // every chunk's name.
    std::string writer;
    // Maximum time from a request to its result.
    helpers::duration deadline = std::chrono::seconds(3);
    // Delay of the first retry; doubles with each further one, up to eight times this value.
    helpers::duration retry_delay = std::chrono::milliseconds(100);
    // A leave mark that was not accepted within this time takes effect provisionally.
    helpers::duration provisional_delay = std::chrono::milliseconds(500);
    // Changes that wait for the running one; further ones are not accepted.
    std::size_t max_queued = 64;
};

using change_callback = std::function<void(config::change_result)>;

class change_writer {
public:
    change_writer(kernel::loop& loop, object_store& objects, config::configuration_manager& manager,
                  state_loader& loader, const change_writer_settings& settings);
    ~change_writer();
    change_writer(const change_writer&) = delete;
    change_writer& operator=(const change_writer&) = delete;

    // Queues a change. The callback receives its result, unless the writer is destroyed before.
    void submit(config::change_request request, change_callback callback);
    // Whether a change is being written.
    bool is_busy() const { return this->running != nullptr; }

private:
    struct change_job;
    using job_ptr = std::shared_ptr<change_job>;

    void start(const job_ptr& job);
    void schedule_provisional_mark(const job_ptr& job);
    // Puts the leave mark of the change in effect. Returns whether it is in effect provisionally;
    // false if the change may not take effect before it is accepted.
    bool add_provisional_mark(const job_ptr& job);
    void load(const job_ptr& job);
    void on_loaded(const job_ptr& job, load_status status);
    void retry(const job_ptr& job);
    void evaluate(const job_ptr& job);
    void write_chunks(const job_ptr& job);
    void write_chunk(const job_ptr& job, std::size_t index, int attempts);
    void write_root(const job_ptr& job);
    void on_root_written(const job_ptr& job, const write_result& result);
    void finish(const job_ptr& job, config::change_result result);
    void on_deadline(const job_ptr& job);

    kernel::loop& loop;
    object_store& objects;
    config::configuration_manager& manager;
    state_loader& loader;
    store_source source;
    change_writer_settings settings;
    // Invariant: only increases, so that no nonce is reused within an incarnation of the process.
    std::uint64_t last_nonce = 0;
    job_ptr running;
    std::deque<job_ptr> queue;
};

} // namespace samphirespool::store
