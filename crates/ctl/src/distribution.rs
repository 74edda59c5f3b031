//! Distributions of token counts.

use rand::{Rng, RngExt};
use rand_distr::{Distribution, LogNormal, Pareto};
use serde::Deserialize;

/// Largest token count that a distribution may yield. It limits a generated prompt, without its
/// shared prefix, to 4 MiB.
pub(crate) const MAX_TOKENS: u64 = 1 << 20;

/// A distribution as given in the mix file. Samples above `max` become `max`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) enum TokenDistribution {
    Constant(u64),
    Uniform { min: u64, max: u64 },
    Lognormal { median: f64, sigma: f64, max: u64 },
    Pareto { min: f64, shape: f64, max: u64 },
}

/// A distribution with valid parameters.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sampler {
    Constant(u64),
    Uniform(u64, u64),
    Lognormal(LogNormal<f64>, u64),
    Pareto(Pareto<f64>, u64),
}

impl TokenDistribution {
    /// Checks the parameters and returns the sampler.
    pub(crate) fn sampler(&self) -> Result<Sampler, String> {
        let max = match *self {
            TokenDistribution::Constant(max)
            | TokenDistribution::Uniform { max, .. }
            | TokenDistribution::Lognormal { max, .. }
            | TokenDistribution::Pareto { max, .. } => max,
        };
        if !(1..=MAX_TOKENS).contains(&max) {
            return Err(format!("the largest value is not from 1 to {MAX_TOKENS}"));
        }
        match *self {
            TokenDistribution::Constant(tokens) => Ok(Sampler::Constant(tokens)),
            TokenDistribution::Uniform { min, max } if min >= 1 && min <= max => {
                Ok(Sampler::Uniform(min, max))
            }
            TokenDistribution::Uniform { .. } => Err("min is not from 1 to max".into()),
            TokenDistribution::Lognormal { median, sigma, max } => {
                let valid = median.is_finite() && median > 0.0 && sigma.is_finite() && sigma >= 0.0;
                valid
                    .then(|| LogNormal::new(median.ln(), sigma).ok())
                    .flatten()
                    .map(|dist| Sampler::Lognormal(dist, max))
                    .ok_or_else(|| "median is not above 0, or sigma is below 0".into())
            }
            TokenDistribution::Pareto { min, shape, max } => {
                let valid = min.is_finite() && shape.is_finite() && min > 0.0 && shape > 0.0;
                valid
                    .then(|| Pareto::new(min, shape).ok())
                    .flatten()
                    .map(|dist| Sampler::Pareto(dist, max))
                    .ok_or_else(|| "min or shape is not above 0".into())
            }
        }
    }
}

impl Sampler {
    /// Draws a token count of at least 1.
    pub(crate) fn sample(&self, rng: &mut impl Rng) -> u64 {
        match self {
            Sampler::Constant(tokens) => *tokens,
            Sampler::Uniform(min, max) => rng.random_range(*min..=*max),
            Sampler::Lognormal(dist, max) => round_and_clamp(dist.sample(rng), *max),
            Sampler::Pareto(dist, max) => round_and_clamp(dist.sample(rng), *max),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates and the result is clamped"
)]
fn round_and_clamp(value: f64, max: u64) -> u64 {
    (value.round() as u64).clamp(1, max)
}
