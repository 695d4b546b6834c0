// Brings the configuration in force up to the version that a source holds: reads its root, then
// the chunks that differ. One load runs at a time.
#pragma once

#include "config/configuration_manager.hpp"
#include "store/object_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::store {

enum class source_status : std::uint8_t {
    found,
    // There is none (of the root: nothing was ever accepted).
    absent,
    failed,
};

struct source_reply {
    source_status status = source_status::failed;
    std::string text;
    // Version of the root object; 0 if the source is no store.
    object_version version = absent;
};

// Where a snapshot of the configuration comes from: the store or a peer. Never answers from within
// a call.
class snapshot_source {
public:
    virtual ~snapshot_source() = default;
    virtual void read_root(std::function<void(source_reply)> done) = 0;
    virtual void read_chunk(std::size_t index, const std::string& name,
                            std::function<void(source_reply)> done) = 0;
};

class store_source final : public snapshot_source {
public:
    explicit store_source(object_store& objects) : objects(objects) {}
    void read_root(std::function<void(source_reply)> done) override;
    void read_chunk(std::size_t index, const std::string& name,
                    std::function<void(source_reply)> done) override;

private:
    object_store& objects;
};

enum class load_status : std::uint8_t {
    // The version in force is at least the one that the source held when the load began.
    loaded,
    // The source holds no root.
    absent,
    failed,
};

using load_done = std::function<void(load_status)>;

class state_loader {
public:
    explicit state_loader(config::configuration_manager& manager) : manager(manager) {}
    ~state_loader();
    state_loader(const state_loader&) = delete;
    state_loader& operator=(const state_loader&) = delete;

    // The source must outlive the load.
    void load(snapshot_source& source, load_done done);

    // As load, with a root that was just read.
    void load_root(snapshot_source& source, source_reply root, load_done done);

    bool is_running() const { return this->running != nullptr; }

private:
    struct job;
    struct waiting_job {
        snapshot_source* source;
        std::optional<source_reply> root;
        load_done done;
    };

    void start(waiting_job next);
    void begin(const std::shared_ptr<job>& work);
    void take_root(const std::shared_ptr<job>& work, const source_reply& root);
    void read_chunks(const std::shared_ptr<job>& work);
    void take_chunk(const std::shared_ptr<job>& work, std::size_t index, source_reply reply);
    void complete(const std::shared_ptr<job>& work);
    void end(const std::shared_ptr<job>& work, load_status status);

    config::configuration_manager& manager;
    // Shared with the callbacks of its reads, which may come late.
    std::shared_ptr<job> running;
    std::vector<waiting_job> waiting;
};

} // namespace samphirespool::store
