// Retry budget of one router: limits retries of requests that a target may have executed to a share
// of the requests. (An attempt that provably sent nothing adds no load to the targets and needs no
// budget; it is bounded by the number of attempts.) Every accepted request adds the share to the
// balance, every retry subtracts one. Since retries(router) <= share x requests(router) + reserve
// holds on each router, the fleet's retries are at most share x requests + reserve x routers,
// without messages between routers.
#pragma once

namespace samphirespool::request {

class retry_budget {
public:
    // Maximum balance, and the balance at start, in retries.
    static constexpr double reserve = 10;

    explicit retry_budget(double share = 0.1) : share(share) {}

    // Sets the share of the preset in force.
    void set_share(double new_share) { this->share = new_share; }

    // Adds the share of one request.
    void record_request();

    // Spends one retry; returns false and changes nothing if the balance is below one.
    bool try_spend();

    double available() const { return this->balance; }

private:
    double share;
    // Invariant: in [0, reserve].
    double balance = reserve;
};

} // namespace samphirespool::request
