#include "cell/call_router.h"

#include <catch2/catch.hpp>

using namespace medlarhub;
using namespace std::chrono_literals;

namespace {

/// Every partition is owned elsewhere, each by a node named after it.
class owned_elsewhere final : public owner_lookup {
public:
    std::shared_ptr<owned_partition> local_partition(int /*number*/) const override { return {}; }
    std::string remote_owner(int number) const override { return std::to_string(number); }
};

pb::job_answer answer(pb::job_answer::outcome result, pb::job_answer::job_state state, std::int64_t pending) {
    pb::job_answer made;
    made.set_result(result);
    made.set_state(state);
    made.set_pending(pending);
    return made;
}

const auto missing = answer(pb::job_answer::not_found, pb::job_answer::none, 0);
const auto unknown = answer(pb::job_answer::unknown, pb::job_answer::none, 0);

pb::job_answer ask_all(pb::job_call::kind what, const std::vector<pb::job_answer>& answers) {
    const owned_elsewhere owners;
    metrics counters;
    const auto router = std::make_shared<call_router>(
        owners,
        [&](const std::string& address, const pb::job_calls& calls, milliseconds /*timeout*/,
            peer_callback<pb::job_answers> done) {
            pb::job_answers reply;
            for (int i = 0; i < calls.calls_size(); ++i)
                *reply.add_answers() = answers.at(static_cast<std::size_t>(std::stoi(address)));
            done(peer_delivery::answered, reply);
        },
        counters);
    pb::job_call call;
    call.set_what(what);
    call.set_timeout_ms(1000);
    std::optional<pb::job_answer> got;
    router->call_all(call, static_cast<int>(answers.size()), [&](const pb::job_answer& each) {
        CHECK(!got); // answers once
        got = each;
    });
    REQUIRE(got);
    return *got;
}

} // namespace

namespace {

/// What became of one call: its outcome, once it is answered.
struct one_call {
    std::optional<pb::job_answer::outcome> result;
    int answers = 0;

    job_callback callback() {
        return [this](const pb::job_answer& each) {
            result = each.result();
            ++answers;
        };
    }
};

pb::job_call call_of(pb::job_call::kind what, milliseconds timeout = 3000ms) {
    pb::job_call call;
    call.set_what(what);
    call.set_timeout_ms(timeout.count());
    return call;
}

/// A cell without any owner.
class no_owner final : public owner_lookup {
public:
    explicit no_owner(bool expects) : m_expects{expects} {}
    std::shared_ptr<owned_partition> local_partition(int /*number*/) const override { return {}; }
    std::string remote_owner(int /*number*/) const override { return {}; }
    bool expects_owners() const override { return m_expects; }

private:
    bool m_expects;
};

/// Keeps what is sent, without an answer.
struct silent_peer {
    std::vector<peer_callback<pb::job_answers>> open;

    call_batcher::sender sender() {
        return [this](const std::string&, const pb::job_calls&, milliseconds,
                      peer_callback<pb::job_answers> done) { open.push_back(std::move(done)); };
    }
};

} // namespace

// Guards against a process that ends with calls that wait for an owner, or for its answer.
TEST_CASE("a router that gives up answers each open call once, with what is true of it", "[routing][drain]") {
    metrics counters;
    silent_peer peer;
    SECTION("without an owner") {
        const no_owner owners{true};
        const auto router = std::make_shared<call_router>(owners, peer.sender(), counters);
        one_call submitted;
        one_call asked;
        one_call later;
        router->call(call_of(pb::job_call::submit), submitted.callback());
        router->call(call_of(pb::job_call::state), asked.callback());
        CHECK(!submitted.result);
        router->give_up_all();
        CHECK(submitted.result == pb::job_answer::not_run);
        CHECK(asked.result == pb::job_answer::unknown);
        router->call(call_of(pb::job_call::submit), later.callback());
        CHECK(later.result == pb::job_answer::not_run);
        router->tick(now() + 10s);
        CHECK(submitted.answers == 1);
    }
    SECTION("with an owner that is silent") {
        const owned_elsewhere owners;
        const auto router = std::make_shared<call_router>(owners, peer.sender(), counters);
        one_call submitted;
        router->call(call_of(pb::job_call::submit), submitted.callback());
        REQUIRE(peer.open.size() == 1);
        router->give_up_all();
        CHECK(submitted.result == pb::job_answer::unknown);
        peer.open.front()(peer_delivery::lost, {});
        router->tick(now() + 10s);
        CHECK(submitted.answers == 1);
    }
}

TEST_CASE("a call is refused at once if no node that stays can become the owner", "[routing][drain]") {
    const bool expects = GENERATE(false, true);
    const no_owner owners{expects};
    metrics counters;
    silent_peer peer;
    const auto router = std::make_shared<call_router>(owners, peer.sender(), counters);
    one_call submitted;
    router->call(call_of(pb::job_call::submit), submitted.callback());
    CHECK(submitted.answers == (expects ? 0 : 1));
    router->give_up_all();
    CHECK(submitted.result == pb::job_answer::not_run);
}

TEST_CASE("pending jobs are summed over all partitions, and there is no sum if one fails", "[routing]") {
    const auto some = answer(pb::job_answer::ok, pb::job_answer::none, 4);
    const auto more = answer(pb::job_answer::ok, pb::job_answer::none, 7);
    const auto sum = ask_all(pb::job_call::count_pending, {some, more, some});
    CHECK(sum.result() == pb::job_answer::ok);
    CHECK(sum.pending() == 15);
    CHECK(ask_all(pb::job_call::count_pending, {some, unknown, more}).result() == pb::job_answer::unknown);
}

TEST_CASE("a job is found in any partition, and is missing only if all partitions say so", "[routing]") {
    const auto found = answer(pb::job_answer::ok, pb::job_answer::running, 0);
    struct row {
        const char* name;
        std::vector<pb::job_answer> answers;
        pb::job_answer::outcome result;
    };
    const auto given =
        GENERATE_COPY(row{"nowhere", {missing, missing, missing}, pb::job_answer::not_found},
                      row{"first", {found, missing, missing}, pb::job_answer::ok},
                      row{"last", {missing, missing, found}, pb::job_answer::ok},
                      row{"found after a failure", {unknown, found, missing}, pb::job_answer::ok},
                      row{"found before a failure", {found, unknown, missing}, pb::job_answer::ok},
                      row{"one failure", {missing, unknown, missing}, pb::job_answer::unknown});
    INFO(given.name);
    CHECK(ask_all(pb::job_call::state, given.answers).result() == given.result);
}
