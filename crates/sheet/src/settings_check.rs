//! Checks of settings: ranges, and relations between fields.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{CheckError, Settings, Sheet};

/// Smallest `limits.max_header`: hyper refuses smaller read buffers.
const MIN_HEADER_BYTES: usize = 8 << 10;

/// Largest `limits.max_header`.
const MAX_HEADER_BYTES: usize = 1 << 20;

/// Largest limit of connections, waiting requests or outcomes.
const MAX_COUNT: usize = 10_000_000;

type Checked = Result<(), CheckError>;

/// Smallest memory of a process. One without requests takes half of it.
pub(crate) const MIN_MEMORY: usize = 32 << 20;

impl Settings {
    /// Checks the ranges of the values and their relations. [`Settings::parse`] calls this.
    ///
    /// # Errors
    ///
    /// The first invalid value or contradiction.
    pub fn check(&self) -> Checked {
        self.check_limits()?;
        self.check_timing()?;
        self.check_addresses()
    }

    /// Checks the names in the settings against a sheet.
    ///
    /// # Errors
    ///
    /// The first name that the sheet doesn't define.
    pub fn check_names(&self, sheet: &Sheet) -> Checked {
        if sheet.zones.contains_key(&self.zone) {
            Ok(())
        } else {
            Err(CheckError::UnknownZone((&*self.zone).into()))
        }
    }

    fn check_limits(&self) -> Checked {
        let limits = &self.limits;
        let counts = [
            ("limits.max_connections", limits.max_connections),
            ("limits.max_waiting", limits.max_waiting),
            ("limits.max_outcomes", limits.max_outcomes),
        ];
        for (field, count) in counts {
            if count == 0 {
                return Err(CheckError::Zero(field));
            }
            if count > MAX_COUNT {
                let values = [count.to_string().into(), MAX_COUNT.to_string().into()];
                return Err(CheckError::AboveMaximum { field, values });
            }
        }
        if limits.memory < MIN_MEMORY {
            return Err(CheckError::BelowMinimum {
                field: "limits.memory",
                values: [limits.memory, MIN_MEMORY].map(|size| format!("{size} B").into()),
            });
        }
        let (field, size) = ("limits.max_header", limits.max_header);
        let format_kib = |bytes: usize| format!("{}KiB", bytes >> 10).into();
        if size == 0 {
            return Err(CheckError::Zero(field));
        }
        if size < MIN_HEADER_BYTES {
            let values = [format!("{size}B").into(), format_kib(MIN_HEADER_BYTES)];
            return Err(CheckError::BelowMinimum { field, values });
        }
        if size > MAX_HEADER_BYTES {
            let values = [format!("{size}B").into(), format_kib(MAX_HEADER_BYTES)];
            return Err(CheckError::AboveMaximum { field, values });
        }
        require_nonzero(&[
            ("limits.max_outcome_age", limits.max_outcome_age),
            ("limits.idle_timeout", limits.idle_timeout),
            ("limits.header_timeout", limits.header_timeout),
        ])
    }

    fn check_timing(&self) -> Checked {
        let timing = &self.timing;
        require_nonzero(&[
            ("timing.heartbeat", timing.heartbeat),
            ("timing.silent", timing.silent),
            ("timing.lease", timing.lease),
            ("timing.list_lag", timing.list_lag),
            ("timing.list_poll", timing.list_poll),
            ("timing.watch_wait", timing.watch_wait),
            ("timing.permit_life", timing.permit_life),
            ("timing.load_poll", timing.load_poll),
            ("timing.propagation", timing.propagation),
            ("timing.drain", timing.drain),
            ("timing.redial_min", timing.redial_min),
            ("timing.redial_max", timing.redial_max),
            ("timing.keepalive", timing.keepalive),
            ("timing.stream_silent", timing.stream_silent),
        ])?;
        require_greater(
            ("timing.silent", timing.silent),
            ("timing.heartbeat", timing.heartbeat),
        )?;
        // Otherwise the lease expires between two reads of the VM list.
        require_greater(
            ("timing.lease", timing.lease),
            ("timing.list_poll", timing.list_poll),
        )?;
        // Otherwise streams that carry only keepalive comments are dialled again.
        require_greater(
            ("timing.stream_silent", timing.stream_silent),
            ("timing.keepalive", timing.keepalive),
        )?;
        if timing.redial_max < timing.redial_min {
            return Err(CheckError::LessThan {
                fields: ["timing.redial_max", "timing.redial_min"],
                values: [
                    format_duration(timing.redial_max),
                    format_duration(timing.redial_min),
                ],
            });
        }
        Ok(())
    }

    fn check_addresses(&self) -> Checked {
        let mut seen: Vec<(&'static str, SocketAddr)> = Vec::new();
        let fields = [
            ("entry", Some(self.entry)),
            ("admin", Some(self.admin)),
            ("peer", self.peer),
        ];
        for (field, address) in fields {
            let Some(address) = address else { continue };
            // The system chooses a different free port for each address with port 0.
            let duplicate = seen
                .iter()
                .find(|(_, other)| *other == address && address.port() != 0);
            if let Some(&(other, _)) = duplicate {
                return Err(CheckError::DuplicateAddress {
                    fields: [field, other],
                    address: address.to_string().into(),
                });
            }
            seen.push((field, address));
        }
        match (self.peer, self.vm_list) {
            (None, None) => return Ok(()),
            (Some(_), None) => return Err(CheckError::Requires(["peer", "vm_list"])),
            (None, Some(_)) => return Err(CheckError::Requires(["vm_list", "peer"])),
            (Some(_), Some(_)) => {}
        }
        // This daemon sends its entry and peer addresses to peers.
        for (field, address) in seen {
            let reachable = address.port() != 0 && !address.ip().is_unspecified();
            if field != "admin" && !reachable {
                let address = address.to_string().into();
                return Err(CheckError::Unreachable { field, address });
            }
        }
        Ok(())
    }
}

pub(crate) fn require_nonzero(fields: &[(&'static str, Duration)]) -> Checked {
    match fields.iter().find(|(_, duration)| duration.is_zero()) {
        Some(&(field, _)) => Err(CheckError::Zero(field)),
        None => Ok(()),
    }
}

fn require_greater(upper: (&'static str, Duration), lower: (&'static str, Duration)) -> Checked {
    if upper.1 > lower.1 {
        return Ok(());
    }
    Err(CheckError::NotGreater {
        fields: [upper.0, lower.0],
        values: [format_duration(upper.1), format_duration(lower.1)],
    })
}

pub(crate) fn format_duration(duration: Duration) -> Box<str> {
    humantime::format_duration(duration).to_string().into()
}
