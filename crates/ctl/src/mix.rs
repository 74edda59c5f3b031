//! The mix file of `load`: its format and validation.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::{HeaderValue, Method};
use serde::Deserialize;
use serde_json::Value;

use crate::distribution::{MAX_TOKENS, TokenDistribution};
use crate::jsonc::Document;
use crate::output::Error;
use crate::{duration, file, key, send};

/// Largest mix file.
const MAX_MIX_BYTES: usize = 1 << 18;
/// Highest rate of a workload in requests/s, also after rate events.
const MAX_RATE: f64 = 100_000.0;
/// Most workloads, and most events, of a mix.
const MAX_LIST_ITEMS: usize = 1000;
/// Most prefix groups of a workload.
const MAX_PREFIX_GROUPS: u64 = 1 << 20;

/// A load for a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Mix {
    /// Length of the measured period, which follows the warm-up.
    #[serde(deserialize_with = "duration::deserialize")]
    pub(crate) duration: Duration,
    #[serde(default, deserialize_with = "duration::deserialize")]
    pub(crate) warm_up: Duration,
    pub(crate) seed: u64,
    pub(crate) entries: Vec<SocketAddr>,
    /// Total requests/s of the workloads that have a share.
    pub(crate) rate: Option<f64>,
    #[serde(default)]
    pub(crate) vms: VmSelection,
    /// Whether the targets put the request id into the `id` field of their responses, as the
    /// stand-ins do. Then `load` detects responses to another request.
    #[serde(default)]
    pub(crate) answer_ids: bool,
    pub(crate) workloads: Vec<Workload>,
    #[serde(default)]
    pub(crate) events: Vec<Event>,
}

/// Which VMs get the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum VmSelection {
    /// A random VM for each request, all with the same probability.
    #[default]
    Even,
    /// The first by name.
    One,
    /// One VM after the other in the order of names, each for this time.
    Moving(#[serde(deserialize_with = "duration::deserialize")] Duration),
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Workload {
    pub(crate) name: String,
    pub(crate) rate: Option<f64>,
    pub(crate) share: Option<f64>,
    pub(crate) path: String,
    /// Workspace name in the results only; the site derives the workspace from the key.
    pub(crate) workspace: Option<String>,
    pub(crate) key: Option<String>,
    pub(crate) key_file: Option<String>,
    pub(crate) tier: Option<String>,
    #[serde(default, deserialize_with = "duration::deserialize_some")]
    pub(crate) deadline: Option<Duration>,
    pub(crate) prompt_tokens: Option<TokenDistribution>,
    pub(crate) output_tokens: Option<TokenDistribution>,
    pub(crate) prefix: Option<Prefix>,
    #[serde(default)]
    pub(crate) stream: bool,
    /// HTTP method; POST with a body, else GET.
    pub(crate) method: Option<String>,
    /// Fixed body of requests that are no model calls.
    pub(crate) body: Option<Value>,
    pub(crate) vms: Option<VmSelection>,
    /// Value of the authorization header, from `key` or `key_file`.
    #[serde(skip)]
    pub(crate) authorization: Option<HeaderValue>,
}

/// Shared prefixes of prompts. Each prompt starts with the prefix of a randomly chosen group.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Prefix {
    pub(crate) groups: u64,
    pub(crate) tokens: u64,
}

/// An action at a set time of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Event {
    /// Time since the start of the warm-up.
    #[serde(deserialize_with = "duration::deserialize")]
    pub(crate) at: Duration,
    pub(crate) action: Action,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum Action {
    /// Sets the rate of a workload to its initial rate times the factor.
    Rate { workload: String, factor: f64 },
    /// Sends one HTTP request, for example a command to a stand-in engine.
    Http {
        address: SocketAddr,
        method: String,
        path: String,
        body: Option<Value>,
    },
}

impl Mix {
    /// Initial rate of a workload in requests/s.
    pub(crate) fn rate(&self, workload: &Workload) -> f64 {
        let share = |share: f64| share * self.rate.unwrap_or(0.0);
        workload.rate.or(workload.share.map(share)).unwrap_or(0.0)
    }

    /// Reads and checks a mix file and the key files that it names.
    pub(crate) fn read(path: &Path) -> Result<Mix, Error> {
        let text = file::read_text(path, MAX_MIX_BYTES)?;
        let name = path.display().to_string();
        let document = Document::new(&name, &text).map_err(Error::rejected)?;
        let mut mix: Mix = document.parse().map_err(Error::rejected)?;
        mix.validate()
            .map_err(|(path, message)| Error::rejected(document.error(&path, &message)))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        for workload in &mut mix.workloads {
            workload.authorization = match (workload.key.take(), &workload.key_file) {
                (None, None) => None,
                (Some(text), _) => Some(key::authorization(&text, &name)?),
                (None, Some(file)) => key::read(Some(&folder.join(file)))?,
            };
        }
        Ok(mix)
    }

    /// Checks the constraints that the types don't express. The error has the path of the value and
    /// a message.
    fn validate(&self) -> Result<(), (String, String)> {
        ensure(!self.duration.is_zero(), "duration", "is zero")?;
        ensure(!self.entries.is_empty(), "entries", "names no address")?;
        let count = self.workloads.len();
        ensure(
            (1..=MAX_LIST_ITEMS).contains(&count),
            "workloads",
            "has no row or more than 1000",
        )?;
        ensure(
            self.events.len() <= MAX_LIST_ITEMS,
            "events",
            "has more than 1000 rows",
        )?;
        ensure(is_valid_selection(self.vms), "vms", "moves after no time")?;
        let mut names = HashSet::new();
        for (index, workload) in self.workloads.iter().enumerate() {
            let path = |field: &str| format!("workloads[{index}].{field}");
            ensure(
                names.insert(workload.name.as_str()) && !workload.name.is_empty(),
                &path("name"),
                "is empty or given twice",
            )?;
            self.validate_rate(workload, &path)?;
            workload.validate(&path)?;
        }
        for (index, event) in self.events.iter().enumerate() {
            let path = |field: &str| format!("events[{index}].action.{field}");
            match &event.action {
                Action::Rate { workload, factor } => {
                    let changed_workload = self.workloads.iter().find(|w| w.name == *workload);
                    let Some(changed_workload) = changed_workload else {
                        let message = format!("{workload:?} is no name of a workload");
                        return Err((path("rate.workload"), message));
                    };
                    let rate = self.rate(changed_workload) * factor;
                    let valid = (0.0..=MAX_RATE).contains(&rate);
                    ensure(
                        valid,
                        &path("rate.factor"),
                        "gives no rate from 0 to 100000/s",
                    )?;
                }
                Action::Http {
                    method, path: to, ..
                } => {
                    ensure(
                        is_path(to),
                        &path("http.path"),
                        "is not a path that starts with \"/\"",
                    )?;
                    ensure(
                        method.parse::<Method>().is_ok(),
                        &path("http.method"),
                        "is not a method",
                    )?;
                }
            }
        }
        Ok(())
    }

    fn validate_rate(
        &self,
        workload: &Workload,
        path: &impl Fn(&str) -> String,
    ) -> Result<(), (String, String)> {
        let field = match (workload.rate, workload.share) {
            (Some(_), None) => "rate",
            (None, Some(_)) => "share",
            _ => return Err((path("name"), "needs either \"rate\" or \"share\"".into())),
        };
        if workload.share.is_some() && self.rate.is_none() {
            let message = "needs \"rate\" of the mix; set it or give the workload a rate";
            return Err((path("share"), message.into()));
        }
        let rate = self.rate(workload);
        ensure(
            rate > 0.0 && rate <= MAX_RATE,
            &path(field),
            "gives no rate above 0 and up to 100000/s",
        )
    }
}

impl Workload {
    /// Name under which the results list the tier.
    pub(crate) fn tier_label(&self) -> &str {
        self.tier.as_deref().unwrap_or("default")
    }

    fn validate(&self, path: &impl Fn(&str) -> String) -> Result<(), (String, String)> {
        ensure(
            is_path(&self.path),
            &path("path"),
            "is not a path that starts with \"/\"",
        )?;
        let has_one_key_source = self.key.is_none() || self.key_file.is_none();
        ensure(
            has_one_key_source,
            &path("key"),
            "is given beside \"key_file\"; remove one",
        )?;
        if let Some(tier) = &self.tier {
            ensure(
                send::header_value(tier).is_ok(),
                &path("tier"),
                "can't be sent in a header",
            )?;
        }
        if let Some(deadline) = self.deadline {
            ensure(!deadline.is_zero(), &path("deadline"), "is zero")?;
        }
        ensure(
            self.vms.is_none_or(is_valid_selection),
            &path("vms"),
            "moves after no time",
        )?;
        let method = self.method.as_ref();
        let valid = method.is_none_or(|method| method.parse::<Method>().is_ok());
        ensure(valid, &path("method"), "is not a method")?;
        for (field, dist) in [
            ("prompt_tokens", &self.prompt_tokens),
            ("output_tokens", &self.output_tokens),
        ] {
            if let Some(Err(message)) = dist.as_ref().map(TokenDistribution::sampler) {
                return Err((path(field), message));
            }
        }
        let is_model_call = self.prompt_tokens.is_some();
        if is_model_call {
            ensure(
                self.output_tokens.is_some(),
                &path("prompt_tokens"),
                "needs \"output_tokens\"",
            )?;
            ensure(
                self.body.is_none(),
                &path("body"),
                "is given beside \"prompt_tokens\"; remove one",
            )?;
        } else {
            let model_only = [
                ("output_tokens", self.output_tokens.is_none()),
                ("prefix", self.prefix.is_none()),
                ("stream", !self.stream),
            ];
            for (field, absent) in model_only {
                ensure(absent, &path(field), "needs \"prompt_tokens\"")?;
            }
        }
        if let Some(prefix) = self.prefix {
            let groups = (1..=MAX_PREFIX_GROUPS).contains(&prefix.groups);
            ensure(groups, &path("prefix.groups"), "is not from 1 to 1048576")?;
            let tokens = (1..=MAX_TOKENS).contains(&prefix.tokens);
            ensure(tokens, &path("prefix.tokens"), "is not from 1 to 1048576")?;
        }
        Ok(())
    }
}

/// Returns an error for the path unless `valid` is true.
fn ensure(valid: bool, path: &str, message: &str) -> Result<(), (String, String)> {
    if valid {
        return Ok(());
    }
    Err((path.into(), message.into()))
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.parse::<http::uri::PathAndQuery>().is_ok()
}

fn is_valid_selection(vms: VmSelection) -> bool {
    vms != VmSelection::Moving(Duration::ZERO)
}
