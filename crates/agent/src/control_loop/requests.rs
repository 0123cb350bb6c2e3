//! Requests other than orders.

use std::time::Duration;

use fleet::wire::{ErrorCode, FirstCall, FleetStatus, GatewayRequest, ToolRequest, ToolResponse};
use fleet::Name;

use super::ControlLoop;
use crate::gateway_queries::{respond_backends, respond_in_flight};
use crate::log::LogError;
use crate::responder::Responder;
use crate::start_coordinator::StartRequest;

/// Maximum number of orders in one response.
const MAX_LISTED_ORDERS: usize = 1_000;
/// Maximum deadline of an in-flight query.
const MAX_QUERY_DEADLINE: Duration = Duration::from_secs(60);
/// Timeout for polling the backends of all gateways, as a multiple of the response timeout.
const BACKENDS_TIMEOUT_FACTOR: u32 = 2;

/// Error for a starting gateway if the agent does not coordinate starts.
const START_NOT_COORDINATED: &str = "the operator's file of the agent has no ordered_by_agent in [start]";
/// Error for a request about the endpoint list if the agent serves none.
const NO_SOURCES: &str = "the operator's file of the agent has no [sources]";

impl ControlLoop {
    /// Handles a request other than an order.
    ///
    /// # Errors
    /// A [`LogError`] if the log can't be written.
    pub(super) fn handle_request(
        &mut self,
        request: ToolRequest,
        responder: Responder,
    ) -> Result<(), LogError> {
        match request {
            ToolRequest::Status { backends } => self.respond_status(backends, responder),
            ToolRequest::Orders { limit } => {
                let limit = limit.min(MAX_LISTED_ORDERS);
                let orders = self.ledger.latest().take(limit).cloned().collect();
                responder.respond(ToolResponse::Orders(orders));
            }
            ToolRequest::Inflight { subject, deadline_ms } => {
                let queried = self.gateways.query(&GatewayRequest::Inflight { subject });
                let timeout = Duration::from_millis(deadline_ms).min(MAX_QUERY_DEADLINE);
                tokio::spawn(respond_in_flight(queried, timeout, responder));
            }
            ToolRequest::Sources { records } => self.respond_endpoint_list(records, responder),
            ToolRequest::Start { name, incarnation, gateways, held_version } => {
                let request = StartRequest { name, incarnation, gateways, held_version };
                self.respond_start(&request, &responder);
            }
            ToolRequest::Started { name, incarnation, call } => {
                self.first_call_ended(&name, incarnation, call);
                responder.succeed();
            }
            ToolRequest::Register { name, address } => return self.register(&name, &address, &responder),
            ToolRequest::Deregister { name } => return self.deregister(&name, &responder),
            ToolRequest::Order { .. } | ToolRequest::Watch => {
                responder.fail(ErrorCode::BadRequest, "not for here");
            }
        }
        Ok(())
    }

    fn respond_status(&self, backends: bool, responder: Responder) {
        let newest = self.ledger.newest();
        let status = FleetStatus {
            revision: newest,
            gateways: self.gateways.status(newest),
            ordered: self.ledger.desired().registers().cloned().collect(),
        };
        responder.respond(ToolResponse::Status(status));
        if backends {
            let queried = self.gateways.query(&GatewayRequest::State { backends: true });
            let timeout = self.gateways.response_timeout() * BACKENDS_TIMEOUT_FACTOR;
            tokio::spawn(respond_backends(queried, timeout, responder));
        }
    }

    /// Responds with the status of the endpoint list once the task that updates it has reported it.
    fn respond_endpoint_list(&self, records: bool, responder: Responder) {
        let Some(endpoint_list) = &self.endpoint_list else {
            return responder.fail(ErrorCode::BadRequest, NO_SOURCES);
        };
        let Some(status) = endpoint_list.request_status(records) else {
            return responder.fail(ErrorCode::Unavailable, "too many ask; try again");
        };
        tokio::spawn(async move {
            match status.await {
                Ok(status) => responder.respond(ToolResponse::Sources(Box::new(status))),
                Err(_) => responder.fail(ErrorCode::Unavailable, "the list is not followed any more"),
            }
        });
    }

    fn respond_start(&mut self, request: &StartRequest, responder: &Responder) {
        let now_ms = self.gateways.now_ms();
        match &mut self.start_coordinator {
            Some(coordinator) => {
                let instructions = coordinator.instruct(now_ms, request);
                responder.respond(ToolResponse::Starting(instructions));
            }
            None => responder.fail(ErrorCode::BadRequest, START_NOT_COORDINATED),
        }
    }

    fn first_call_ended(&mut self, name: &Name, incarnation: u64, call: FirstCall) {
        let now_ms = self.gateways.now_ms();
        let Some(coordinator) = &mut self.start_coordinator else { return };
        if let Some(version) = coordinator.first_call_ended(now_ms, name, incarnation, call) {
            self.events.emit(format!(
                "gateway {name} has fetched the list, version {version}, for those that start"
            ));
        }
    }
}
