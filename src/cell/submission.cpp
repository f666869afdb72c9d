#include "cell/submission.h"

#include "log.h"

#include <algorithm>
#include <utility>

namespace medlarhub {

namespace {

constexpr milliseconds claim_retry{500};

class submission : public std::enable_shared_from_this<submission> {
public:
    submission(std::shared_ptr<call_router> router, pb::job_call call, const job_places& places,
               job_callback done)
        : m_router{std::move(router)}, m_deadline{now() + milliseconds{call.timeout_ms()}},
          m_call{std::move(call)}, m_places{places}, m_done{std::move(done)} {
        m_call.set_home(places.home);
    }

    void start() {
        if (m_places.arbiter == m_places.home)
            submit_to_arbiter();
        else
            claim();
    }

private:
    pb::job_call call_to(int partition) const {
        auto call = m_call;
        call.set_partition(partition);
        call.set_timeout_ms(std::max<std::int64_t>((m_deadline - now()).count(), 0));
        return call;
    }

    void claim() {
        auto call = call_to(m_places.arbiter);
        call.set_what(pb::job_call::claim);
        call.clear_spec();
        m_router->call(std::move(call), [self = shared_from_this()](const pb::job_answer& answer) {
            self->claim_answered(answer);
        });
    }

    void claim_answered(const pb::job_answer& answer) {
        if (answer.result() != pb::job_answer::ok || !answer.has_held_by()) {
            // Whether the claim is recorded or not, nothing was submitted.
            const auto retry = std::max(milliseconds{answer.retry_after_ms()}, claim_retry);
            return m_done(make_job_answer(pb::job_answer::not_run,
                                          "the id could not be claimed: " + answer.reason(), retry));
        }
        if (answer.held_by() == m_places.arbiter)
            submit_to_arbiter();
        else
            submit_to_holder(answer.held_by());
    }

    void submit_to_arbiter() {
        m_router->call(call_to(m_places.arbiter), [self = shared_from_this()](const pb::job_answer& answer) {
            if (answer.result() != pb::job_answer::held_elsewhere)
                return self->m_done(answer);
            self->submit_to_holder(answer.held_by());
        });
    }

    void submit_to_holder(int partition) {
        if (partition != m_places.home)
            log_event(log_level::info, "submission_redirected",
                      {{"request", m_call.id()},
                       {"home", std::to_string(m_places.home)},
                       {"arbiter", std::to_string(m_places.arbiter)},
                       {"to", std::to_string(partition)}});
        auto call = call_to(partition);
        call.set_claimed(true);
        m_router->call(std::move(call), m_done);
    }

    std::shared_ptr<call_router> m_router;
    instant m_deadline;
    pb::job_call m_call;
    job_places m_places;
    job_callback m_done;
};

} // namespace

void submit_once(const std::shared_ptr<call_router>& router, pb::job_call call, const job_places& places,
                 job_callback done) {
    std::make_shared<submission>(router, std::move(call), places, std::move(done))->start();
}

} // namespace medlarhub
