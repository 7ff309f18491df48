/// @file
/// @brief Orders of operators on the evacuation of availability zones. Any control VM takes them, the leader
///        commits them.

#include "control_service.hpp"
#include "plumspoke/jobs/codec.hpp"
#include "plumspoke/logging/event.hpp"

namespace plumspoke::job_server
{

namespace
{

constexpr const char* part = "control";
constexpr auto answer_timeout = milliseconds(800); // operators try another control VM after a second
// Leaves the rest of that second for delays of the network, and for pauses that are too short to be detected.
constexpr auto max_order_age = milliseconds(600);

/// @brief A leader's answer to the question for a zone's version.
struct read_version
{
    std::optional<zone_version> value; // std::nullopt: a leader of a release without versions
};

duration time_until(time_point end)
{
    return std::max(duration::zero(), std::chrono::duration_cast<duration>(end - boot_clock::now()));
}

http::client_state read_client(const http::request& received)
{
    return received.read_client_state ? received.read_client_state() : http::client_state();
}

void log_order(const jobs::set_evacuation& order, const http::client_state& client, bool leads)
{
    logging::write(
        logging::event(part, "evacuation_ordered", "An order on the evacuation of a zone has arrived.")
            .with("availability_zone", order.availability_zone)
            .with("evacuated", order.evacuated ? 1 : 0)
            .with("leads", leads ? 1 : 0)
            .with("connected", client.connected ? 1 : 0)
            .with("max_age_ms", std::chrono::duration_cast<milliseconds>(client.max_request_age).count()));
}

/// @param until when to stop waiting
/// @param result set to the result of the call
/// @return std::nullopt if no leader has answered
std::optional<read_version>
ask_for_version(control_channel& to, const std::string& zone, time_point until, call_result& result)
{
    grpc::ClientContext context;
    set_timeout(context, time_until(until));
    wire::ReadZoneVersionRequest request;
    request.set_availability_zone(zone);
    wire::ReadZoneVersionReply reply;
    const grpc::Status status = to.stub().ReadZoneVersion(&context, request, &reply);
    if (status.error_code() == grpc::StatusCode::UNIMPLEMENTED)
    {
        return read_version{std::nullopt};
    }
    result = to_call_result(status, reply.acting());
    if (result != call_result::answered)
    {
        return std::nullopt;
    }
    return read_version{zone_version{reply.version().term(), reply.version().orders()}};
}

/// @param until when to stop waiting
/// @param result set to the result of the call
order_end send_order(control_channel& to,
                     const jobs::set_evacuation& order,
                     const read_version& expected,
                     time_point until,
                     call_result& result)
{
    grpc::ClientContext context;
    set_timeout(context, time_until(until));
    wire::SetEvacuationRequest request;
    *request.mutable_order() = jobs::to_wire(order);
    if (expected.value.has_value())
    {
        request.mutable_expected()->set_term(expected.value->term);
        request.mutable_expected()->set_orders(expected.value->orders);
    }
    wire::OrderReply reply;
    const grpc::Status status = to.stub().SetEvacuation(&context, request, &reply);
    result = to_call_result(status, reply.acting());
    switch (result)
    {
    case call_result::not_executed:
        return order_end::not_executed;
    case call_result::unknown:
        return order_end::undecided;
    case call_result::answered:
        break;
    }
    if (reply.conflict())
    {
        return order_end::conflict;
    }
    return reply.durable() ? order_end::durable : order_end::undecided;
}

} // namespace

/// @brief An order, and the request that it came with.
struct control_server::evacuation_order
{
    const jobs::set_evacuation& value;
    const http::request& received;
    time_point deadline;

    /// @brief Whether its operator certainly waits for the response.
    [[nodiscard]] bool is_awaited() const
    {
        const http::client_state client = read_client(received);
        return client.connected && client.max_request_age < max_order_age && boot_clock::now() < deadline;
    }
};

http::response control_server::handle(const protocol::evacuation_call& call, const http::request& received)
{
    ++counts_.evacuations;
    const std::set<std::string>& zones = settings_.availability_zones;
    const std::string& zone = call.value.availability_zone;
    if (!zones.empty() && !zones.contains(zone))
    {
        return handle(protocol::bad_call{404, "there is no availability zone " + zone});
    }
    const http::client_state client = read_client(received);
    log_order(call.value, client, acting());
    const evacuation_order order{
        call.value, received, boot_clock::now() + answer_timeout - client.max_request_age};
    order_end end = order.is_awaited() ? evacuate_as_leader(order) : order_end::abandoned;
    if (end == order_end::not_executed || end == order_end::undecided)
    {
        end = evacuate_at_leader(order);
    }
    if (end == order_end::durable)
    {
        return json_response(200, "{}");
    }
    ++counts_.evacuations_unanswered;
    counts_.evacuations_abandoned += end == order_end::abandoned ? 1 : 0;
    logging::write(
        logging::event(part, "evacuation_unanswered", "The order on a zone was not committed in time.")
            .with("availability_zone", zone)
            .with("evacuated", call.value.evacuated ? 1 : 0)
            .with("abandoned", end == order_end::abandoned ? 1 : 0)
            .with("known_leader", leader_client_.leader()));
    return json_response(503, R"({"error":"the order was not committed in time"})");
}

order_end control_server::evacuate_as_leader(const evacuation_order& order)
{
    return carry_out_order(
        [&]
        {
            const std::optional<replica::term_number> term = acting_term();
            return term.has_value() ? std::optional(zone_orders_.read(*term, order.value.availability_zone))
                                    : std::nullopt;
        },
        [&order]
        {
            return order.is_awaited();
        },
        [&](const zone_version& expected)
        {
            return evacuate(order.value, expected, time_until(order.deadline));
        });
}

order_end control_server::evacuate_at_leader(const evacuation_order& order)
{
    order_end end = order_end::not_executed;
    (void)leader_client_.call(order.deadline,
                              [&](control_channel& to, duration limit)
                              {
                                  const time_point until = boot_clock::now() + limit;
                                  call_result last = call_result::answered;
                                  end = carry_out_order(
                                      [&]
                                      {
                                          return ask_for_version(
                                              to, order.value.availability_zone, until, last);
                                      },
                                      [&order]
                                      {
                                          return order.is_awaited();
                                      },
                                      [&](const read_version& expected)
                                      {
                                          // Not `until`: the connection has just proved responsive.
                                          return send_order(to, order.value, expected, order.deadline, last);
                                      });
                                  return end == order_end::abandoned ? call_result::answered : last;
                              });
    return end;
}

order_end control_server::evacuate(const jobs::set_evacuation& value,
                                   const std::optional<zone_version>& expected,
                                   duration limit)
{
    proposed_command proposed;
    const bool unchanged = zone_orders_.propose_if_unchanged(
        value.availability_zone,
        expected,
        [&]
        {
            proposed = propose(value, expected.has_value() ? expected->term : replica::any_term);
        });
    if (!unchanged)
    {
        ++counts_.evacuation_conflicts;
        return order_end::conflict;
    }
    const replica::proposal_result result = await(proposed, limit);
    if (result.error)
    {
        return result.error == replica::errc::not_leader ? order_end::not_executed : order_end::undecided;
    }
    const jobs::outcome taken = jobs::decode_answer(result.answer).result;
    logging::write(logging::event(part, "evacuation", "An order on the evacuation of a zone was committed.")
                       .with("availability_zone", value.availability_zone)
                       .with("evacuated", value.evacuated ? 1 : 0)
                       .with("changed", taken == jobs::outcome::accepted ? 1 : 0));
    return is_durable(taken) ? order_end::durable : order_end::undecided;
}

// ---- gRPC --------------------------------------------------------------------------------------

grpc::Status control_server::service::ReadZoneVersion(grpc::ServerContext* /*context*/,
                                                      const wire::ReadZoneVersionRequest* request,
                                                      wire::ReadZoneVersionReply* reply)
{
    const std::optional<replica::term_number> term = owner_.acting_term();
    reply->set_acting(term.has_value());
    if (term.has_value())
    {
        const zone_version version = owner_.zone_orders_.read(*term, request->availability_zone());
        reply->mutable_version()->set_term(version.term);
        reply->mutable_version()->set_orders(version.orders);
    }
    return grpc::Status::OK;
}

grpc::Status control_server::service::SetEvacuation(grpc::ServerContext* /*context*/,
                                                    const wire::SetEvacuationRequest* request,
                                                    wire::OrderReply* reply)
{
    reply->set_leader_address(owner_.driver_->status().leader_address);
    if (!owner_.acting())
    {
        return grpc::Status::OK;
    }
    const std::optional<zone_version> expected =
        request->has_expected()
            ? std::optional(zone_version{request->expected().term(), request->expected().orders()})
            : std::nullopt;
    const order_end end =
        owner_.evacuate(jobs::from_wire(request->order()), expected, operator_order_timeout);
    reply->set_acting(end != order_end::not_executed);
    reply->set_durable(end == order_end::durable);
    reply->set_conflict(end == order_end::conflict);
    return grpc::Status::OK;
}

} // namespace plumspoke::job_server
