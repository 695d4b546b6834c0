// Status of this router and its view of the fleet, for the administration API.
#pragma once

#include "admin/status_provider.hpp"
#include "router/membership_service.hpp"
#include "router/request_path.hpp"
#include "router/share_service.hpp"
#include "store/monitored_store.hpp"

namespace samphirespool::router {

// Invariant: everything referenced outlives the fleet_status.
struct status_sources {
    const kernel::clock& time;
    const settings::router_settings& settings;
    const router_identity& self;
    const membership_service& members;
    const fleet_view& fleet;
    const share_service& shares;
    const request_path& path;
    const store::monitored_store& store;
};

class fleet_status final : public admin::status_provider {
public:
    explicit fleet_status(const status_sources& sources);

    admin::router_status status() const override;
    std::vector<admin::member_status> members() const override;
    std::vector<admin::target_status> targets() const override;

private:
    admin::target_status status_of(const helpers::vm_entry& vm,
                                   const helpers::target_entry& target) const;
    void add_load(admin::target_status& result, helpers::target_id target) const;
    // Why targets on the VM receive no new requests.
    std::string ineligible_reason(const helpers::vm_entry& vm) const;
    // Empty if the router is not a known member.
    std::string name_of(helpers::router_id id) const;

    status_sources sources;
    helpers::time_point started_at;
};

} // namespace samphirespool::router
