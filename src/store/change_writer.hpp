// Carries changes to the store one after the other: reads the root, evaluates the change, writes
// the changed chunks, and accepts by a conditional update of the root. A conflict or a lost answer
// leads back to the reading: the request id in the root tells whether the change was accepted.
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
    // Name of this life of the process, unique in the fleet and over restarts; part of every
    // chunk's name.
    std::string writer;
    // From the request to its answer.
    helpers::duration deadline = std::chrono::seconds(3);
    helpers::duration retry_delay = std::chrono::milliseconds(100);
    // A leave mark that was not accepted for this long takes effect provisionally.
    helpers::duration provisional_delay = std::chrono::milliseconds(500);
    std::size_t max_waiting = 64;
};

using change_done = std::function<void(config::change_result)>;

class change_writer {
public:
    change_writer(kernel::loop& loop, object_store& objects, config::configuration_manager& manager,
                  state_loader& loader, const change_writer_settings& settings);
    ~change_writer();
    change_writer(const change_writer&) = delete;
    change_writer& operator=(const change_writer&) = delete;

    void submit(config::change_request wanted, change_done done);
    bool is_busy() const { return this->running != nullptr; }

private:
    struct job;
    using job_ref = std::shared_ptr<job>;

    void start(const job_ref& work);
    void arm_provisional(const job_ref& work);
    bool hold_provisionally(const job_ref& work);
    void load(const job_ref& work);
    void take_loaded(const job_ref& work, load_status status);
    void retry(const job_ref& work);
    void evaluate(const job_ref& work);
    void write_chunks(const job_ref& work);
    void write_chunk(const job_ref& work, std::size_t index, int attempts);
    void write_root(const job_ref& work);
    void take_root_result(const job_ref& work, const write_result& result);
    void end(const job_ref& work, config::change_result result);
    void give_up(const job_ref& work);

    kernel::loop& loop;
    object_store& objects;
    config::configuration_manager& manager;
    state_loader& loader;
    store_source source;
    change_writer_settings settings;
    // Invariant: never repeats within a life of the process.
    std::uint64_t last_nonce = 0;
    job_ref running;
    std::deque<job_ref> waiting;
};

} // namespace samphirespool::store
