//! Prediction of an engine's delays from the figures of the catalog.
//!
//! An engine works in passes. While requests decode, a pass has `stride` steps, and each step
//! produces one token of each decoding request and reads at most `chunk_tokens` of new prompts. A
//! new prompt waits for the pass that runs, and for the prompts before it. Requests beyond the
//! slots wait until others end.

use std::time::Duration;

use egret_record::EngineFigures;

/// Longest predicted time; keeps sums of predictions far from overflow.
const PREDICTION_MAX: f64 = 3_600.0;

/// The requests at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Running {
    /// Number of requests, including those that wait for a slot; an estimate may be fractional.
    pub requests: f64,
    /// Tokens of context of all requests.
    pub context: f64,
    /// Tokens of prompts that it has not read yet.
    pub unread: f64,
}

/// Predicts the delays of an engine.
///
/// ```
/// use std::time::Duration;
/// use egret_record::EngineFigures;
/// use egret_route::{EngineModel, Running};
///
/// let figures = EngineFigures {
///     slots: 12,
///     kv_tokens: 300_000,
///     stride: 5,
///     step_time: Duration::from_millis(10),
///     request_time: Duration::ZERO,
///     context_time: Duration::ZERO,
///     prefill_rate: 20_000.0,
///     pair_time: Duration::ZERO,
///     chunk_tokens: 2_000,
///     usual_prompt: 1_000,
///     usual_output: 100,
///     delays: Default::default(),
///     report_lag: Duration::ZERO,
/// };
/// let model = EngineModel::new(&figures);
/// assert_eq!(model.first_event(Running::default(), 1_000), Duration::from_millis(50));
/// assert_eq!(model.duration(Running::default(), 1_000, 101), Duration::from_millis(1_050));
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineModel {
    slots: f64,
    kv_tokens: u32,
    stride: f64,
    /// Seconds of a step, and for each decoding request and token of context.
    step: f64,
    per_request: f64,
    per_context: f64,
    /// Seconds to read a prompt, for each token and for each pair of tokens.
    per_token: f64,
    per_pair: f64,
    chunk: f64,
    usual_prompt: u32,
    usual_output: u32,
}

impl EngineModel {
    /// Creates the model of an engine with these figures.
    #[must_use]
    pub fn new(figures: &EngineFigures) -> Self {
        /// Tokens of context to which `context_time` refers.
        const CONTEXT_UNIT: f64 = 1e3;
        /// Pairs of tokens to which `pair_time` refers.
        const PAIR_UNIT: f64 = 1e6;
        Self {
            slots: f64::from(figures.slots.max(1)),
            kv_tokens: figures.kv_tokens,
            stride: f64::from(figures.stride.max(1)),
            step: figures.step_time.as_secs_f64(),
            per_request: figures.request_time.as_secs_f64(),
            per_context: figures.context_time.as_secs_f64() / CONTEXT_UNIT,
            per_token: 1.0 / figures.prefill_rate.max(1.0),
            per_pair: figures.pair_time.as_secs_f64() / PAIR_UNIT,
            chunk: f64::from(figures.chunk_tokens.max(1)),
            usual_prompt: figures.usual_prompt,
            usual_output: figures.usual_output.max(1),
        }
    }

    /// Returns the requests at an engine with `requests` usual ones, of which all prompts are read.
    #[must_use]
    pub fn usual(&self, requests: f64) -> Running {
        // On average, half of an answer is written.
        let context = f64::from(self.usual_prompt) + f64::from(self.usual_output) / 2.0;
        Running { requests, context: requests * context, unread: 0.0 }
    }

    /// Returns the number of tokens that the engine's memory holds.
    #[must_use]
    pub const fn kv_tokens(&self) -> u32 {
        self.kv_tokens
    }

    /// Returns the mean tokens of a prompt and of an output.
    #[must_use]
    pub const fn usual_tokens(&self) -> (u32, u32) {
        (self.usual_prompt, self.usual_output)
    }

    /// Predicts the time to the first event of a request with `prompt` tokens.
    #[must_use]
    pub fn first_event(&self, running: Running, prompt: u32) -> Duration {
        seconds(self.slot_wait(running) + self.read_time(running, prompt))
    }

    /// Predicts the time until a request with `prompt` tokens has produced `output` tokens.
    #[must_use]
    pub fn duration(&self, running: Running, prompt: u32, output: u32) -> Duration {
        seconds(self.slot_wait(running) + self.run_time(running, prompt, output))
    }

    /// Predicts how long a request occupies a slot of an engine whose other slots are taken.
    #[must_use]
    pub fn slot_time(&self, prompt: u32, output: u32) -> Duration {
        seconds(self.run_time(self.usual(self.slots - 1.0), prompt, output))
    }

    /// Time until a request gets a slot.
    ///
    /// With all slots taken, one becomes free each time a usual request ends. Between one free slot
    /// and none the estimate of the requests is a mean, so the wait grows from zero.
    fn slot_wait(&self, running: Running) -> f64 {
        let beyond = running.requests + 1.0 - self.slots;
        if beyond <= 0.0 {
            return 0.0;
        }
        let full = Running { requests: self.slots - 1.0, ..running };
        beyond * self.run_time(full, self.usual_prompt, self.usual_output) / self.slots
    }

    /// Time from a free slot to the first event.
    fn read_time(&self, running: Running, prompt: u32) -> f64 {
        // The request itself has one of the slots.
        let decoding = self.decoding(running).min(self.slots - 1.0);
        let running = Running { requests: decoding, ..running };
        let unread = running.unread.max(0.0);
        let read = unread * self.per_token + self.prefill(prompt);
        if decoding <= 0.0 {
            return read;
        }
        let steps = ((unread + f64::from(prompt)) / self.chunk).ceil().max(1.0);
        // Requests arrive at any time of the pass that runs. With less than one decoding request
        // on average, there is no such pass for the rest of the time.
        let pass_wait = self.stride * self.token_time(running) / 2.0;
        decoding.min(1.0) * (pass_wait + steps * self.step_time(running)) + read
    }

    /// Time from a free slot to the end.
    fn run_time(&self, running: Running, prompt: u32, output: u32) -> f64 {
        let usual = self.usual(1.0);
        let with_self = Running {
            requests: running.requests.max(0.0) + 1.0,
            context: running.context.max(0.0) + usual.context,
            unread: 0.0,
        };
        let later_tokens = f64::from(output.saturating_sub(1));
        self.read_time(running, prompt) + later_tokens * self.token_time(with_self)
    }

    /// Mean time between two tokens of a request.
    ///
    /// Each of the other requests is replaced by one with a new prompt once in a usual answer, and
    /// all wait while that is read.
    fn token_time(&self, running: Running) -> f64 {
        let others = (self.decoding(running) - 1.0).max(0.0);
        let reading = others * self.prefill(self.usual_prompt) / f64::from(self.usual_output);
        self.step_time(running) + reading
    }

    /// Time of a decoding step, without reading prompts.
    fn step_time(&self, running: Running) -> f64 {
        self.step
            + self.decoding(running) * self.per_request
            + running.context.max(0.0) * self.per_context
    }

    /// Time to read a prompt.
    fn prefill(&self, prompt: u32) -> f64 {
        let tokens = f64::from(prompt);
        let pairs = tokens * (tokens - 1.0).max(0.0) / 2.0;
        tokens * self.per_token + pairs * self.per_pair
    }

    const fn decoding(&self, running: Running) -> f64 {
        running.requests.clamp(0.0, self.slots)
    }
}

fn seconds(value: f64) -> Duration {
    // An estimate that went wrong must not make an engine look free.
    let value = if value.is_nan() { PREDICTION_MAX } else { value };
    Duration::from_secs_f64(value.clamp(0.0, PREDICTION_MAX))
}
