//! A pool of engines and a plain service in virtual time, as docs/design/hard-load.md describes them.

use std::collections::VecDeque;

use admit::{RunEnd, RunReport, StartReport, TargetLoad};

use super::ms;

pub const ENGINES: usize = 36;
pub const PLAIN_TARGETS: usize = 3;
pub const ENGINE_SLOTS: usize = 5;
pub const PLAIN_SLOTS: usize = 6;
/// Normal time per step in ms, and prompt tokens that are read per ms.
const STEP_MS: f64 = 4.0;
const READ_PER_MS: f64 = 66.0;
const EVENT_TOKENS: u32 = 9;
/// Factor of the exact estimate up to which a request clearly fits: hints are off by a factor of two.
const CLEAR_FIT: f64 = 2.0;

/// Name, tier, target latency and time limit in ms, and median and sigma of the log-normally distributed
/// prompt and output in tokens; for the plain service the output is the time of a run in ms.
#[rustfmt::skip]
pub struct Kind(pub &'static str, pub u8, pub u64, pub u64, pub (f64, f64), pub (f64, f64));

/// Longest gap between events in ms for which a stream is on time.
pub const MAX_GAP: f64 = 500.0;

/// Sigmas follow from the percentiles on the page: ln(p90 / p50) / 1.2816, or are chosen where the page
/// has only a mean.
pub const KINDS: [Kind; 4] = [
    Kind("long", 0, 800, 12_000, (3800.0, 1.03), (170.0, 1.3)),
    Kind("short", 1, 600, 10_000, (456.0, 0.8), (130.0, 1.23)),
    Kind("tag", 2, 1200, 2500, (1307.0, 0.8), (31.0, 0.8)),
    Kind("plain", 2, 150, 1000, (0.0, 0.0), (25.0, 0.4)),
];
pub const PLAIN: usize = 3;

/// Deterministic random numbers.
pub struct Random(pub u64);

impl Random {
    /// Uniform in 0..1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        f64::from(u32::try_from(z >> 32).expect("32 bits")) / f64::from(u32::MAX)
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn log_normal(&mut self, (median, sigma): (f64, f64)) -> u32 {
        let (u, v) = (self.next().max(1e-9), self.next());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        (median * (sigma * normal).exp()).clamp(0.0, 50_000.0) as u32
    }
}

/// One request at a target.
#[derive(Clone, Default)]
pub struct Stream {
    kind: usize,
    prompt: u32,
    output: u32,
    sent_at: f64,
    read: u32,
    tokens: u32,
    events: u32,
    pub first_event: Option<f64>,
    last_event: f64,
    pub longest_pause: f64,
}

/// What an entry reports to the owner of a request.
pub enum Report {
    Start(StartReport),
    End(RunReport, Stream),
}

pub struct Engine {
    pub is_plain: bool,
    pub speed: f64,
    chunk: u32,
    pub slots: usize,
    /// Time that work takes at this moment, in units of the usual; stated if it is not `None`.
    pub slowdown: Option<f64>,
    pub is_gone: bool,
    pub was_gone: bool,
    streams: Vec<(u64, Stream)>,
    queue: VecDeque<(u64, Stream)>,
    /// Run whose prompt is read in the current step, and the tokens of the chunk.
    reading: Option<(u64, u32)>,
    step_end: f64,
}

impl Engine {
    pub fn new(at: usize) -> Self {
        let is_plain = at >= ENGINES;
        Engine {
            is_plain,
            speed: [0.55, 1.0, 2.8, 1.0][if is_plain { 3 } else { at % 3 }],
            chunk: if at.is_multiple_of(2) { 1024 } else { 4096 },
            slots: if is_plain { PLAIN_SLOTS } else { ENGINE_SLOTS },
            slowdown: None,
            is_gone: false,
            was_gone: false,
            streams: Vec::new(),
            queue: VecDeque::new(),
            reading: None,
            step_end: 0.0,
        }
    }

    pub fn len(&self) -> usize {
        self.streams.len() + self.queue.len()
    }

    /// Removes a run, or all of them.
    pub fn remove(&mut self, run: Option<u64>) {
        self.streams
            .retain(|(id, _)| run.is_some_and(|run| run != *id));
        self.queue
            .retain(|(id, _)| run.is_some_and(|run| run != *id));
    }

    pub fn send(&mut self, now: f64, run: u64, (kind, prompt, output): (usize, u32, u32)) {
        let mut stream = Stream::default();
        (stream.kind, stream.prompt, stream.output) = (kind, prompt, output);
        stream.sent_at = now;
        self.queue.push_back((run, stream));
        if self.len() == 1 {
            self.step_end = now;
            self.begin_step();
        }
    }

    fn begin_step(&mut self) {
        while self.streams.len() < self.slots
            && let Some(next) = self.queue.pop_front()
        {
            self.streams.push(next);
        }
        let unread = self.streams.iter().find(|(_, s)| s.read < s.prompt);
        self.reading = unread.map(|(run, s)| (*run, (s.prompt - s.read).min(self.chunk)));
        let chunk = self
            .reading
            .map_or(0.0, |(_, tokens)| f64::from(tokens) / READ_PER_MS);
        let step = if self.is_plain { 1.0 } else { STEP_MS };
        self.step_end += (step + chunk) * self.speed * self.slowdown.unwrap_or(1.0);
    }

    /// Runs all steps that end until `now`.
    pub fn advance(&mut self, now: f64) -> Vec<(u64, Report)> {
        let mut reports = Vec::new();
        while self.len() > 0 && self.step_end <= now {
            let mut load = self.load();
            let (at, reading) = (self.step_end, self.reading);
            self.streams.retain_mut(|(run, s)| {
                if s.read < s.prompt {
                    s.read += reading.filter(|(id, _)| id == run).map_or(0, |(_, n)| n);
                    return true;
                }
                s.tokens += 1;
                let is_over = s.tokens >= s.output;
                if is_over || s.kind != PLAIN && s.tokens.is_multiple_of(EVENT_TOKENS) {
                    s.record_event(at);
                }
                if s.events == 1 && s.last_event >= at && s.kind != PLAIN {
                    let first_event = duration(at - s.sent_at);
                    reports.push((
                        *run,
                        Report::Start(StartReport {
                            first_event,
                            load: Some(load),
                        }),
                    ));
                }
                if is_over {
                    let mut report = s.report();
                    report.load = Some(load);
                    // The reported load includes the run that ends, and not those before.
                    load.running -= 1;
                    reports.push((*run, Report::End(report, s.clone())));
                }
                !is_over
            });
            self.begin_step();
        }
        reports
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn load(&self) -> TargetLoad {
        TargetLoad {
            running: u32::try_from(self.streams.len()).expect("a small number"),
            waiting: u32::try_from(self.queue.len()).expect("a small number"),
            slowdown_percent: self.slowdown.map(|factor| (factor * 100.0) as u32),
        }
    }

    /// Whether a request that must have its first event in `aim` ms and its end in `limit` ms clearly
    /// fits, given the exact speed and the exact rest of all prompts.
    pub fn fits(&self, prompt: u32, output: u32, aim: f64, limit: f64) -> bool {
        let factor = self.speed * self.slowdown.unwrap_or(1.0) * CLEAR_FIT;
        if self.is_plain {
            return f64::from(output) * factor <= aim;
        }
        let streams = self.streams.iter().chain(&self.queue);
        let unread: u32 = streams.map(|(_, s)| s.prompt - s.read).sum();
        let tokens = f64::from(unread + prompt);
        let steps = (tokens / f64::from(self.chunk)).ceil() + f64::from(EVENT_TOKENS.min(output));
        let first = tokens / READ_PER_MS + steps * STEP_MS;
        let chunks = f64::from(prompt.min(self.chunk * EVENT_TOKENS)) / READ_PER_MS;
        let pause = chunks + f64::from(EVENT_TOKENS) * STEP_MS;
        factor * first <= aim
            && factor * (first + f64::from(output) * STEP_MS) <= limit
            && factor * pause <= MAX_GAP
    }
}

impl Stream {
    fn record_event(&mut self, at: f64) {
        if self.first_event.is_some() {
            self.longest_pause = self.longest_pause.max(at - self.last_event);
        }
        self.first_event.get_or_insert(at);
        self.last_event = at;
        self.events += 1;
    }

    fn report(&self) -> RunReport {
        let first = self.first_event.expect("a stream that ended had an event");
        let is_stream = self.kind != PLAIN;
        let gaps = f64::from(self.events - 1);
        let unit = match self.kind {
            PLAIN => Some(self.last_event - self.sent_at),
            _ => (gaps > 0.0).then(|| (self.last_event - first) / gaps),
        };
        RunReport {
            time_per_unit: unit.map(duration),
            longest_pause: (self.events > 1).then(|| duration(self.longest_pause)),
            events: is_stream.then_some(self.events),
            ..RunReport::of(RunEnd::Served)
        }
    }
}

fn duration(millis: f64) -> std::time::Duration {
    ms(1).mul_f64(millis.max(0.0))
}
