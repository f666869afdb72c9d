#pragma once

#include "peers/delivery.h"

#include "medlarhub/time.h"

#include "jobs.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarhub {

/// Handles calls from other cell nodes. The functions are called on gRPC's threads; each calls `done`, where
/// it has one, exactly once.
class cell_handler {
public:
    cell_handler() = default;
    cell_handler(const cell_handler&) = delete;
    cell_handler& operator=(const cell_handler&) = delete;
    virtual ~cell_handler() = default;

    virtual pb::gossip on_exchange(const pb::gossip& message) = 0;
    virtual void on_jobs(const pb::job_calls& calls, std::function<void(pb::job_answers)> done) = 0;
    virtual void on_advise(const pb::advice_call& call, std::function<void(pb::advice_answer)> done) = 0;
    virtual void on_relay(const pb::relay_call& call, std::function<void(pb::relay_answer)> done) = 0;
    virtual pb::take_reply on_take(const pb::take_request& request) = 0;
    virtual pb::target_promise on_request_targets(const pb::target_request& request) = 0;
    virtual pb::target_notice_reply on_announce_targets(const pb::target_notice& notice) = 0;
};

/// gRPC client for calls to other cell nodes and server for calls from them.
class cell_peers {
public:
    explicit cell_peers(cell_handler& handler);
    ~cell_peers();
    cell_peers(const cell_peers&) = delete;
    cell_peers& operator=(const cell_peers&) = delete;

    /// Starts the server. Returns an empty optional and sets the reason when the address can't be bound.
    [[nodiscard]] std::optional<std::string> start(const std::string& address);
    void stop();

    void exchange(const std::string& address, const pb::gossip& message, milliseconds timeout,
                  peer_callback<pb::gossip> done);
    void jobs(const std::string& address, const pb::job_calls& calls, milliseconds timeout,
              peer_callback<pb::job_answers> done);
    void advise(const std::string& address, const pb::advice_call& call, milliseconds timeout,
                peer_callback<pb::advice_answer> done);
    void relay(const std::string& address, const pb::relay_call& call, milliseconds timeout,
               peer_callback<pb::relay_answer> done);
    void take(const std::string& address, const pb::take_request& request, milliseconds timeout,
              peer_callback<pb::take_reply> done);
    void request_targets(const std::string& address, const pb::target_request& request, milliseconds timeout,
                         peer_callback<pb::target_promise> done);
    void announce_targets(const std::string& address, const pb::target_notice& notice, milliseconds timeout,
                          peer_callback<pb::target_notice_reply> done);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub
