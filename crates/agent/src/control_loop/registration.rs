//! Registration and deregistration of gateways that are not in the operator's file.

use fleet::wire::{ErrorCode, ErrorResponse};
use fleet::{Health, Name};
use operator_config::{Address, MAX_GATEWAYS};

use super::ControlLoop;
use crate::log::LogError;
use crate::responder::Responder;

impl ControlLoop {
    /// Adds a gateway to those that the agent manages. A repeated registration changes nothing.
    ///
    /// # Errors
    /// A [`LogError`] if the log can't be written.
    pub(super) fn register(
        &mut self,
        name: &Name,
        address: &str,
        responder: &Responder,
    ) -> Result<(), LogError> {
        let parsed: Address = match address.parse() {
            Ok(parsed) => parsed,
            Err(error) => {
                responder.fail(ErrorCode::BadRequest, format!("{error}"));
                return Ok(());
            }
        };
        let is_known = self.gateways.get(name.as_str()).is_some_and(|known| known.address == parsed);
        if !is_known {
            if let Some(reason) = self.registration_conflict(name) {
                responder.fail(ErrorCode::BadRequest, reason);
                return Ok(());
            }
            self.log.add_member(name.as_str(), address)?;
            self.gateways.add(name.as_str(), parsed, false);
            self.events.emit(format!("gateway {name} is overseen, at {address}"));
        }
        responder.succeed();
        Ok(())
    }

    /// Returns why a gateway may not register with this name at a new address; `None` if it may.
    fn registration_conflict(&self, name: &Name) -> Option<String> {
        let Some(known) = self.gateways.get(name.as_str()) else {
            let is_full = self.gateways.len() >= MAX_GATEWAYS;
            return is_full.then(|| format!("{MAX_GATEWAYS} gateways are overseen already"));
        };
        if known.configured {
            return Some(format!("{name} is in the operator's file, at {}", known.address));
        }
        // A gateway that took the name of a running one would receive the orders meant for that one.
        let health = self.gateways.health(known, self.ledger.newest());
        let is_reachable = matches!(health, Health::Ok | Health::Behind);
        is_reachable.then(|| format!("{name} answers at {}; end it or remove it first", known.address))
    }

    /// Removes a registered gateway from those that the agent manages.
    ///
    /// # Errors
    /// A [`LogError`] if the log can't be written.
    pub(super) fn deregister(&mut self, name: &Name, responder: &Responder) -> Result<(), LogError> {
        if let Some(ErrorResponse { code, message }) = self.deregistration_error(name) {
            responder.fail(code, message);
            return Ok(());
        }
        self.log.remove_member(name.as_str())?;
        self.gateways.remove(name.as_str());
        self.catalog.remove(name.as_str());
        self.pending_orders.gateway_removed(name.as_str());
        self.events.emit(format!("gateway {name} is overseen no more"));
        responder.succeed();
        Ok(())
    }

    fn deregistration_error(&self, name: &Name) -> Option<ErrorResponse> {
        match self.gateways.get(name.as_str()) {
            None => {
                let message = format!("no gateway {name} is overseen");
                Some(ErrorResponse::new(ErrorCode::UnknownSubject, message))
            }
            Some(known) if known.configured => {
                let message = format!("{name} is in the operator's file");
                Some(ErrorResponse::new(ErrorCode::BadRequest, message))
            }
            Some(_) => None,
        }
    }
}
