// Updates the configuration in force to the version of a source: reads the source's root, then the
// chunks that differ. One load runs at a time.
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
    // The part does not exist. A store without a root has never accepted a change.
    absent,
    failed,
};

struct source_reply {
    source_status status = source_status::failed;
    std::string text;
    // Version of the object that was read; 0 if the source is not the store.
    object_version version = absent;
};

// Source of a snapshot of the configuration: the store or a peer. Callbacks never run within the
// call.
class snapshot_source {
public:
    virtual ~snapshot_source() = default;
    virtual void read_root(std::function<void(source_reply)> callback) = 0;
    virtual void read_chunk(std::size_t index, const std::string& name,
                            std::function<void(source_reply)> callback) = 0;
};

// The store as the source of a snapshot.
class store_source final : public snapshot_source {
public:
    explicit store_source(object_store& objects) : objects(objects) {}
    void read_root(std::function<void(source_reply)> callback) override;
    void read_chunk(std::size_t index, const std::string& name,
                    std::function<void(source_reply)> callback) override;

private:
    object_store& objects;
};

enum class load_status : std::uint8_t {
    // The version in force is at least that of the source when the load started.
    loaded,
    // The source has no root.
    absent,
    failed,
};

using load_callback = std::function<void(load_status)>;

class state_loader {
public:
    explicit state_loader(config::configuration_manager& manager) : manager(manager) {}
    ~state_loader();
    state_loader(const state_loader&) = delete;
    state_loader& operator=(const state_loader&) = delete;

    // Loads from the source, after the loads that were requested before. The source must outlive
    // the load.
    void load(snapshot_source& source, load_callback callback);

    // As load, with a root that the caller has just read from the source.
    void load_root(snapshot_source& source, source_reply root, load_callback callback);

    bool is_running() const { return this->running != nullptr; }

private:
    struct load_job;
    struct queued_load {
        snapshot_source* source;
        std::optional<source_reply> root;
        load_callback callback;
    };

    void start(queued_load next);
    void start_attempt(const std::shared_ptr<load_job>& job);
    void on_root(const std::shared_ptr<load_job>& job, const source_reply& root);
    void read_chunks(const std::shared_ptr<load_job>& job);
    void on_chunk(const std::shared_ptr<load_job>& job, std::size_t index, source_reply reply);
    void complete(const std::shared_ptr<load_job>& job);
    void finish(const std::shared_ptr<load_job>& job, load_status status);

    config::configuration_manager& manager;
    // Shared with the callbacks of its reads, which may outlive the load.
    std::shared_ptr<load_job> running;
    std::vector<queued_load> queue;
};

} // namespace samphirespool::store
