#pragma once

#include "http/client.h"
#include "node/config_sync.h"
#include "node/escrow_sync.h"
#include "node/node.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"

#include "medlarhub/membership.h"
#include "medlarhub/ownership.h"
#include "medlarhub/retry_budget.h"
#include "medlarhub/router.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace medlarhub {

/// Implementation of `node`. Each group of members below is guarded by the mutex named above it.
class node::impl : public peer_handler, public std::enable_shared_from_this<node::impl> {
public:
    explicit impl(settings options);
    ~impl() override;
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::optional<std::string> start();
    void leave();
    void stop();
    [[nodiscard]] int calls_in_flight() const { return static_cast<int>(m_in_flight.load()); }

    // node.cpp: calls from callers.
    enum class call_kind { run, submit, ask, cancel };
    struct routed_call {
        call_kind kind = call_kind::run;
        pb::call call;
        answer_callback done;
        int retries = 0;
        bool any_partition = false; ///< any partition can serve the call, not only the request's home
        bool is_idempotent = false; ///< may be retried after an unknown outcome
    };
    /// Starts a call; `finish` ends it.
    void begin(routed_call routed);
    /// Sends the call to the owner of its partition, or delays it while no owner is known.
    void route(std::shared_ptr<routed_call> routed);
    void handle_answer(const std::shared_ptr<routed_call>& routed, int partition, pb::answer answer);
    void finish(const std::shared_ptr<routed_call>& routed, pb::answer answer);
    void retry_later(const std::shared_ptr<routed_call>& routed, milliseconds wait);
    void send_to_owner(const std::string& owner, const std::shared_ptr<routed_call>& routed, int partition);
    /// Passes a call to a partition that this node owns.
    void call_host(const std::shared_ptr<partition_host>& host, call_kind kind, const pb::call& call,
                   answer_callback done);

    change_result change(pb::config_change change, const std::string& who,
                         std::optional<std::int64_t> expected);
    node_status status() const;
    std::vector<pb::job> jobs(const std::string& team, int limit);

    // node_peers.cpp: calls from peers.
    pb::gossip on_exchange(const pb::gossip& message) override;
    void on_probe(const pb::probe_request& message, std::function<void(pb::probe_reply)> done) override;
    void on_submit(const pb::call& message, std::function<void(pb::answer)> done) override;
    void on_run(const pb::call& message, std::function<void(pb::answer)> done) override;
    void on_ask(const pb::call& message, std::function<void(pb::answer)> done) override;
    void on_cancel(const pb::call& message, std::function<void(pb::answer)> done) override;
    pb::config_ack on_push_config(const pb::config_push& message) override;
    void on_release(const pb::release_request& message, std::function<void(pb::release_reply)> done) override;
    pb::jobs_reply on_list_jobs(const pb::jobs_request& message) override;

    [[nodiscard]] std::shared_ptr<partition_host> host(int partition) const;
    [[nodiscard]] std::string peer_address(const std::string& node) const;
    [[nodiscard]] bool ready() const;

    settings m_options;
    metrics m_counters;
    http_client m_http;
    std::unique_ptr<table> m_rows;
    std::unique_ptr<object_store> m_objects;
    std::unique_ptr<vm_list> m_vm_list;
    std::unique_ptr<target_client> m_targets;
    shared_write_limiter m_write_limiter;
    config_sync m_config;
    peer_client m_peers;
    peer_server m_server;
    std::uint64_t m_incarnation;

private:
    using host_map = std::map<int, std::shared_ptr<partition_host>>;

    /// Serves a call that a peer has forwarded.
    void serve_peer_call(call_kind kind, const pb::call& message, std::function<void(pb::answer)> done);

    // node_peers.cpp: gossip and ownership.
    void update_own_summaries();
    /// Makes a gossip message with the membership updates and partition summaries that this node passes on.
    pb::gossip make_gossip();
    void merge_gossip(const pb::gossip& message);
    void gossip_round();
    void probe(const pb::member& member);
    void probe_failed(const pb::member& member);
    void push_missing_changes(const std::string& peer, std::int64_t revision);
    void push_changes(const std::vector<pb::config_change>& changes, std::size_t needed,
                      std::size_t& confirmed);
    void ownership_round();
    /// Starts the takeover of a partition.
    void take_over(int partition);
    void request_release(int partition, const std::string& owner);
    void remove_closed_hosts();
    /// Releases all owned partitions, then announces that this node leaves.
    void leave_cluster();

    // node.cpp: periodic loops, each on its own thread.
    void loop(milliseconds period, const std::function<void()>& body);
    void tick_round();
    void config_round();
    void fleet_round();
    void escrow_round();
    void distribute_fleet();
    [[nodiscard]] host_map partition_hosts() const;

    /// Guarded by m_cluster_mutex.
    mutable std::mutex m_cluster_mutex;
    membership m_members;
    router m_router;
    ownership m_ownership;
    retry_budget m_retries;

    /// Guarded by m_host_mutex.
    mutable std::mutex m_host_mutex;
    host_map m_hosts;
    std::vector<vm_info> m_fleet;

    /// Guarded by m_timer_mutex.
    std::mutex m_timer_mutex;
    std::multimap<instant, std::shared_ptr<routed_call>> m_delayed_calls;

    escrow_sync m_escrow;
    std::atomic<std::int64_t> m_in_flight{0};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_stopping{false};
    std::mutex m_stop_mutex;
    std::condition_variable m_stop_changed;
    std::vector<std::thread> m_threads;
};

} // namespace medlarhub
