//! Arrival times and bodies of the requests of a load, generated from the seed alone.

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use serde::Serialize;

use crate::distribution::Sampler;
use crate::mix::{Action, Mix, Prefix, Workload};

/// Bytes of a prompt that daemons and stand-in engines count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedRequest {
    /// Arrival time since the start of the warm-up.
    pub(crate) arrival: Duration,
    /// Random number that chooses the VM.
    pub(crate) vm_choice: u64,
    pub(crate) body: Bytes,
    /// Output tokens that the request asks for; 0 if it is no model call.
    pub(crate) output_tokens: u64,
}

/// The requests of one workload in the order of arrival, with Poisson arrivals.
pub(crate) struct Plan {
    rng: StdRng,
    now: f64,
    end: f64,
    rate: f64,
    /// Pending rate changes as (time, rate), the next one last.
    rate_changes: Vec<(f64, f64)>,
    template: BodyTemplate,
}

/// How the bodies of a workload are generated.
enum BodyTemplate {
    Model {
        chat: bool,
        stream: bool,
        prompt: Sampler,
        output_tokens: Sampler,
        prefix: Option<Prefix>,
        /// Seed from which the shared prefixes are generated.
        seed: u64,
    },
    Fixed(Bytes),
}

impl Plan {
    /// Plan for the workload at an index of the mix.
    pub(crate) fn new(mix: &Mix, index: usize) -> Self {
        let workload = &mix.workloads[index];
        let initial_rate = mix.rate(workload);
        let mut rate_changes: Vec<(f64, f64)> = mix
            .events
            .iter()
            .filter_map(|event| match &event.action {
                Action::Rate {
                    workload: name,
                    factor,
                } if *name == workload.name => {
                    Some((event.at.as_secs_f64(), initial_rate * factor))
                }
                _ => None,
            })
            .collect();
        rate_changes.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Each workload has its own random sequence, so that changing one workload does not change
        // the requests of the others.
        let seed = mix
            .seed
            .wrapping_add((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Plan {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            end: (mix.warm_up + mix.duration).as_secs_f64(),
            rate: initial_rate,
            rate_changes,
            template: BodyTemplate::new(workload, seed),
        }
    }

    /// Time of the next arrival in seconds. At a rate change the waiting time is drawn again. The
    /// arrivals remain a Poisson process, because the exponential distribution is memoryless.
    fn next_arrival(&mut self) -> Option<f64> {
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            // At a rate of zero the next arrival is at infinity.
            let next = self.now + gap / self.rate;
            match self.rate_changes.last() {
                Some(&(at, rate)) if at <= next => {
                    self.rate_changes.pop();
                    self.now = at.max(self.now);
                    self.rate = rate;
                }
                _ if next < self.end => {
                    self.now = next;
                    return Some(next);
                }
                _ => return None,
            }
        }
    }
}

impl Iterator for Plan {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let arrival = Duration::from_secs_f64(self.next_arrival()?);
        let vm_choice = self.rng.random();
        let (body, output_tokens) = self.template.generate(&mut self.rng);
        Some(PlannedRequest {
            arrival,
            vm_choice,
            body,
            output_tokens,
        })
    }
}

/// Body of a model call. The prompt is its first field, so that bodies of the same prefix group
/// start with the same bytes.
#[derive(Serialize)]
struct CompletionRequest<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<[ChatMessage<'a>; 1]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    max_tokens: u64,
    stream: bool,
}

#[derive(Serialize)]
struct ChatMessage<'a> {
    role: &'a str,
    content: &'a str,
}

impl BodyTemplate {
    fn new(workload: &Workload, seed: u64) -> Self {
        let sampler = |dist: &Option<_>| {
            let dist: Option<&crate::distribution::TokenDistribution> = dist.as_ref();
            dist.and_then(|dist| dist.sampler().ok())
        };
        let samplers = (
            sampler(&workload.prompt_tokens),
            sampler(&workload.output_tokens),
        );
        if let (Some(prompt), Some(output_tokens)) = samplers {
            return BodyTemplate::Model {
                chat: workload.path.ends_with("/chat/completions"),
                stream: workload.stream,
                prompt,
                output_tokens,
                prefix: workload.prefix,
                seed,
            };
        }
        let body = workload.body.as_ref();
        BodyTemplate::Fixed(body.map(ToString::to_string).unwrap_or_default().into())
    }

    /// Generates the body of a request and the number of output tokens that it asks for.
    fn generate(&self, rng: &mut StdRng) -> (Bytes, u64) {
        let (chat, stream, prompt, output_tokens, prefix, seed) = match self {
            BodyTemplate::Fixed(body) => return (body.clone(), 0),
            BodyTemplate::Model {
                chat,
                stream,
                prompt,
                output_tokens,
                prefix,
                seed,
            } => (*chat, *stream, prompt, output_tokens, prefix, *seed),
        };
        let mut text = String::new();
        if let Some(prefix) = prefix {
            let group = rng.random_range(0..prefix.groups);
            let mut prefix_rng = StdRng::seed_from_u64(seed ^ group.rotate_left(32));
            push_random_text(&mut text, prefix.tokens, &mut prefix_rng);
        }
        push_random_text(&mut text, prompt.sample(rng), rng);
        let max_tokens = output_tokens.sample(rng);
        let message = ChatMessage {
            role: "user",
            content: &text,
        };
        let request = CompletionRequest {
            messages: chat.then_some([message]),
            prompt: (!chat).then_some(&text),
            max_tokens,
            stream,
        };
        let body = serde_json::to_vec(&request).expect("strings and numbers serialize to JSON");
        (body.into(), max_tokens)
    }
}

/// Appends random text of this many tokens.
fn push_random_text(text: &mut String, tokens: u64, rng: &mut StdRng) {
    let bytes = usize::try_from(tokens).unwrap_or(usize::MAX / 8) * BYTES_PER_TOKEN;
    let end = text.len() + bytes;
    while text.len() < end {
        let word = format!("{:015x} ", rng.random::<u64>() >> 4);
        text.push_str(&word[..word.len().min(end - text.len())]);
    }
}
