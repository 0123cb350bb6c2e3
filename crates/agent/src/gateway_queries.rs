//! Queries that the agent forwards to every gateway.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use fleet::wire::{
    GatewayBackends, GatewayResponse, GatewayState, InstanceOutcome, InstanceReport, OrderSummary,
    ToolResponse,
};
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

use crate::responder::Responder;
use crate::session::QueryResult;
use crate::session_error::SessionError;

/// A gateway that was queried, and the channel for its response.
pub struct QueriedGateway {
    /// Name of the gateway.
    pub name: Arc<str>,
    /// `None` if the queue of its session was full.
    pub response: Option<oneshot::Receiver<QueryResult>>,
}

/// Why a query has no result.
#[derive(Debug)]
enum QueryError {
    /// There was no response before the deadline.
    TimedOut,
    /// The queue of the session was full.
    QueueFull,
    /// The session ended before it handled the query.
    SessionDropped,
    /// The session failed, or the response was an error.
    Session(Arc<SessionError>),
}

impl QueryError {
    fn unexpected(response: &GatewayResponse) -> QueryError {
        QueryError::Session(Arc::new(SessionError::unexpected(response)))
    }
}

impl fmt::Display for QueryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QueryError::TimedOut => write!(f, "no answer in time"),
            QueryError::QueueFull => write!(f, "too many questions wait for it"),
            QueryError::SessionDropped => write!(f, "its connection ended"),
            QueryError::Session(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for QueryError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            QueryError::Session(error) => Some(&**error),
            _ => None,
        }
    }
}

/// Responds with the number of attempts or requests in flight at each gateway.
pub async fn respond_in_flight(queried: Vec<QueriedGateway>, timeout: Duration, responder: Responder) {
    let deadline = Instant::now() + timeout;
    let mut reports = Vec::with_capacity(queried.len());
    for QueriedGateway { name, response } in queried {
        let outcome = match in_flight(response, deadline).await {
            Ok(in_flight) => InstanceOutcome::InFlight { in_flight },
            Err(QueryError::TimedOut) => InstanceOutcome::TimedOut,
            Err(error) => InstanceOutcome::Unreachable { reason: error.to_string() },
        };
        reports.push(InstanceReport { gateway: name.to_string(), outcome });
    }
    // Fails only if the tool has disconnected.
    let _ = responder.respond_when_free(ToolResponse::Inflight(reports)).await;
}

/// Sends one response with the state of each gateway, then a summary.
pub async fn respond_backends(queried: Vec<QueriedGateway>, timeout: Duration, responder: Responder) {
    let deadline = Instant::now() + timeout;
    let mut summary = OrderSummary::default();
    for QueriedGateway { name, response } in queried {
        let state = state(response, deadline).await.map_err(|error| error.to_string());
        match state {
            Ok(_) => summary.succeeded += 1,
            Err(_) => summary.failed += 1,
        }
        let backends = GatewayBackends { gateway: name.to_string(), state };
        if responder.respond_when_free(ToolResponse::Backends(backends)).await.is_err() {
            return;
        }
    }
    let _ = responder.respond_when_free(ToolResponse::Done(summary)).await;
}

async fn in_flight(
    response: Option<oneshot::Receiver<QueryResult>>,
    deadline: Instant,
) -> Result<u64, QueryError> {
    match receive(response, deadline).await? {
        GatewayResponse::Inflight(in_flight) => Ok(in_flight),
        other => Err(QueryError::unexpected(&other)),
    }
}

async fn state(
    response: Option<oneshot::Receiver<QueryResult>>,
    deadline: Instant,
) -> Result<GatewayState, QueryError> {
    match receive(response, deadline).await? {
        GatewayResponse::State(state) => Ok(state),
        other => Err(QueryError::unexpected(&other)),
    }
}

async fn receive(
    response: Option<oneshot::Receiver<QueryResult>>,
    deadline: Instant,
) -> Result<GatewayResponse, QueryError> {
    let response = response.ok_or(QueryError::QueueFull)?;
    match timeout_at(deadline, response).await {
        Ok(Ok(result)) => result.map_err(QueryError::Session),
        Ok(Err(_)) => Err(QueryError::SessionDropped),
        Err(_) => Err(QueryError::TimedOut),
    }
}
