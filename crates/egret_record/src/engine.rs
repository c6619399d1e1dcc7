//! The model engines of a service, and the figures from which their delays are predicted.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The model engines of a service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct EngineSpec {
    /// The models that they run.
    pub models: Vec<String>,
    /// How fast they are and how much they hold, if the catalog has all figures.
    pub figures: Option<EngineFigures>,
}

/// How fast a model engine is and how much it holds.
///
/// An engine works in passes, each of which handles all its requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineFigures {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Tokens of prompts and answers that its memory holds; it crashes when sent more.
    pub kv_tokens: u32,
    /// Decoding steps in a pass that includes decoding requests.
    pub stride: u32,
    /// Time of a decoding step, without the parts that depend on its requests.
    pub step_time: Duration,
    /// Additional time of a decoding step for each decoding request.
    pub request_time: Duration,
    /// Additional time of a decoding step for each 1,000 tokens of context of a decoding request.
    pub context_time: Duration,
    /// Prompt tokens that it reads per second.
    pub prefill_rate: f64,
    /// Additional time to read a prompt for each million pairs of a token and any earlier token.
    pub pair_time: Duration,
    /// Maximum prompt tokens that it reads in a step.
    pub chunk_tokens: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt: u32,
    /// Mean tokens of an answer.
    pub usual_output: u32,
    /// Network delay from the data centre of an entry to that of an engine, by both.
    pub delays: BTreeMap<String, BTreeMap<String, Duration>>,
    /// Age of the reports of its load, at most.
    pub report_lag: Duration,
}

impl EngineFigures {
    /// Returns the network delay between two data centres, there and back.
    ///
    /// A link that is listed in one direction has the same delay in the other. Others count as slow
    /// as the slowest, so that no unknown link looks the shortest.
    #[must_use]
    pub fn round_trip(&self, from: &str, target: &str) -> Duration {
        if from == target {
            return Duration::ZERO;
        }
        let delay = |from, target| self.delays.get(from).and_then(|links| links.get(target));
        let (there, back) = (delay(from, target), delay(target, from));
        match there.or(back).zip(back.or(there)) {
            Some((there, back)) => *there + *back,
            None => {
                let links = self.delays.values().flat_map(|links| links.values());
                links.max().copied().unwrap_or_default() * 2
            }
        }
    }
}

/// How [`ServiceSpec::engine`](crate::ServiceSpec::engine) is encoded.
///
/// With postcard, the first two variants have the bytes of an `Option` of an engine without
/// figures, which is what programs wrote that did not know of them.
#[derive(Serialize, Deserialize)]
#[serde(rename = "Engine")]
enum Encoding<M, F> {
    None,
    Models(M),
    WithFigures(M, F),
}

/// Encodes the engine of a service.
pub(crate) fn serialize<S: Serializer>(
    engine: &Option<EngineSpec>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let encoding = match engine {
        None => Encoding::None,
        Some(EngineSpec { models, figures: None }) => Encoding::Models(models),
        Some(EngineSpec { models, figures: Some(figures) }) => {
            Encoding::WithFigures(models, figures)
        }
    };
    encoding.serialize(serializer)
}

/// Decodes the engine of a service.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<EngineSpec>, D::Error> {
    Ok(match Encoding::deserialize(deserializer)? {
        Encoding::None => None,
        Encoding::Models(models) => Some(EngineSpec { models, figures: None }),
        Encoding::WithFigures(models, figures) => {
            Some(EngineSpec { models, figures: Some(figures) })
        }
    })
}
