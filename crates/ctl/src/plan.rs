//! When requests are sent and what they ask for, from the seed alone.

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1};
use serde::Serialize;

use crate::dist::Sampler;
use crate::mix::{Action, Mix, Prefix, Workload};

/// Bytes of a prompt that daemons and stand-in engines count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Planned {
    /// Arrival since the start of the warm-up.
    pub(crate) at: Duration,
    /// Random number that chooses the VM.
    pub(crate) choice: u64,
    pub(crate) body: Bytes,
    /// Output tokens that the request asks for.
    pub(crate) output: u64,
}

/// The requests of one workload in the order of arrival, with Poisson arrivals.
pub(crate) struct Plan {
    rng: StdRng,
    now: f64,
    end: f64,
    rate: f64,
    /// Changes of the rate to come, the next one last.
    changes: Vec<(f64, f64)>,
    content: Content,
}

enum Content {
    Model {
        chat: bool,
        stream: bool,
        prompt: Sampler,
        output: Sampler,
        prefix: Option<Prefix>,
        /// Seed of the shared prefixes.
        seed: u64,
    },
    Plain(Bytes),
}

impl Plan {
    /// Plan of the workload at an index of the mix.
    pub(crate) fn new(mix: &Mix, at: usize) -> Self {
        let workload = &mix.workloads[at];
        let first = mix.rate(workload);
        let mut changes: Vec<(f64, f64)> = mix
            .events
            .iter()
            .filter_map(|event| match &event.action {
                Action::Rate {
                    workload: name,
                    factor,
                } if *name == workload.name => Some((event.at.as_secs_f64(), first * factor)),
                _ => None,
            })
            .collect();
        changes.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Each workload has its own numbers, so that a change of one leaves the others alone.
        let seed = mix
            .seed
            .wrapping_add((at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        Plan {
            rng: StdRng::seed_from_u64(seed),
            now: 0.0,
            end: (mix.warm_up + mix.duration).as_secs_f64(),
            rate: first,
            changes,
            content: Content::new(workload, seed),
        }
    }

    /// Time of the next arrival. A change of the rate restarts the wait, which keeps the arrivals
    /// Poisson because the exponential distribution has no memory.
    fn arrival(&mut self) -> Option<f64> {
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            // A rate of zero gives an infinite time.
            let next = self.now + gap / self.rate;
            match self.changes.last() {
                Some(&(at, rate)) if at <= next => {
                    self.changes.pop();
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
    type Item = Planned;

    fn next(&mut self) -> Option<Planned> {
        let at = Duration::from_secs_f64(self.arrival()?);
        let choice = self.rng.random();
        let (body, output) = self.content.request(&mut self.rng);
        Some(Planned {
            at,
            choice,
            body,
            output,
        })
    }
}

/// A model call. Prompts come first, so that the bodies of a prefix group begin alike.
#[derive(Serialize)]
struct Call<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<[Message<'a>; 1]>,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    max_tokens: u64,
    stream: bool,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

impl Content {
    fn new(workload: &Workload, seed: u64) -> Self {
        let sampler = |dist: &Option<_>| {
            let dist: Option<&crate::dist::Dist> = dist.as_ref();
            dist.and_then(|dist| dist.sampler().ok())
        };
        let samplers = (
            sampler(&workload.prompt_tokens),
            sampler(&workload.output_tokens),
        );
        if let (Some(prompt), Some(output)) = samplers {
            return Content::Model {
                chat: workload.path.ends_with("/chat/completions"),
                stream: workload.stream,
                prompt,
                output,
                prefix: workload.prefix,
                seed,
            };
        }
        let body = workload.body.as_ref();
        Content::Plain(body.map(ToString::to_string).unwrap_or_default().into())
    }

    /// Body of a request and its output tokens.
    fn request(&self, rng: &mut StdRng) -> (Bytes, u64) {
        let (chat, stream, prompt, output, prefix, seed) = match self {
            Content::Plain(body) => return (body.clone(), 0),
            Content::Model {
                chat,
                stream,
                prompt,
                output,
                prefix,
                seed,
            } => (*chat, *stream, prompt, output, prefix, *seed),
        };
        let mut text = String::new();
        if let Some(prefix) = prefix {
            let group = rng.random_range(0..prefix.groups);
            let mut shared = StdRng::seed_from_u64(seed ^ group.rotate_left(32));
            fill(&mut text, prefix.tokens, &mut shared);
        }
        fill(&mut text, prompt.sample(rng), rng);
        let max_tokens = output.sample(rng);
        let message = Message {
            role: "user",
            content: &text,
        };
        let call = Call {
            messages: chat.then_some([message]),
            prompt: (!chat).then_some(&text),
            max_tokens,
            stream,
        };
        let body = serde_json::to_vec(&call).expect("a struct of strings and numbers is JSON");
        (body.into(), max_tokens)
    }
}

/// Adds a random text of this many tokens.
fn fill(text: &mut String, tokens: u64, rng: &mut StdRng) {
    let bytes = usize::try_from(tokens).unwrap_or(usize::MAX / 8) * BYTES_PER_TOKEN;
    let end = text.len() + bytes;
    while text.len() < end {
        let word = format!("{:015x} ", rng.random::<u64>() >> 4);
        text.push_str(&word[..word.len().min(end - text.len())]);
    }
}
