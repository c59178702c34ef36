//! Owns what clients will ask for: arrivals, classes, sizes, keys, all drawn from a seed before anything begins. It
//! must never know what came of any of it: arrivals do not wait for answers.

use rand::Rng;
use rand::SeedableRng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;

use crate::{Micros, span};

/// A class of jobs as clients ask for it.
#[derive(Clone, Debug)]
pub struct Asking {
    /// Its part of all jobs; parts need not add up to 1.
    pub share: f64,
    /// Mean work of a job, in seconds on a core of speed 1.
    pub mean_s: f64,
    /// Slots of a large job; every fifth is one, and the others take one slot.
    pub slots: u32,
}

/// The part of a class that is large.
const LARGE: f64 = 0.2;

/// A stretch of time with a rate of its own, by a factor on the usual one.
#[derive(Clone, Copy, Debug)]
pub struct Tide {
    /// From when.
    pub from: Micros,
    /// Until when.
    pub until: Micros,
    /// How many times the usual rate.
    pub factor: f64,
}

/// All that is drawn.
#[derive(Clone, Debug)]
pub struct Wish {
    /// Same seed, same plan.
    pub seed: u64,
    /// How long clients come.
    pub length: Micros,
    /// Jobs a second.
    pub rate: f64,
    /// Where the rate differs.
    pub tides: Vec<Tide>,
    /// The classes.
    pub classes: Vec<Asking>,
    /// Sets that jobs may need.
    pub sets: u64,
    /// How unevenly they are asked for, as the exponent of Zipf's law.
    pub skew: f64,
    /// Spread of the hint about the work, as a standard deviation of its logarithm.
    pub hint_spread: f64,
}

/// A job that will be asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// The intended moment, from the beginning.
    pub at: Micros,
    /// Its class.
    pub class: usize,
    /// Its work, in seconds on a core of speed 1.
    pub work_s: f64,
    /// What the client guesses of that.
    pub hint_s: f64,
    /// Slots.
    pub slots: u32,
    /// The set that it needs.
    pub set: u64,
}

/// A stream of random numbers of its own for each concern, so that a change in one does not shuffle another.
pub fn stream(seed: u64, concern: &str) -> Pcg64Mcg {
    let mix = |sum: u64, byte| (sum ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    Pcg64Mcg::seed_from_u64(concern.bytes().fold(seed, mix))
}

impl Wish {
    /// Names the first figure that nothing can be drawn from.
    pub fn check(&self) -> Result<(), String> {
        let above = |value: f64, name: &str| {
            if value > 0.0 && value.is_finite() { Ok(()) } else { Err(format!("{name}: must be above 0")) }
        };
        above(self.rate, "rate")?;
        above(self.length as f64, "length")?;
        above(self.classes.iter().map(|c| c.share).sum(), "share of all classes together")?;
        for class in &self.classes {
            above(class.mean_s, "mean work of a class")?;
            above(f64::from(class.slots), "slots of a class")?;
        }
        above(self.sets as f64, "sets")
    }

    /// Draws it; see [`Wish::check`] for what must hold.
    pub fn draw(&self) -> Vec<Planned> {
        let [mut arrivals, mut classes, mut sizes, mut keys, mut hints] =
            ["arrivals", "classes", "sizes", "keys", "hints"].map(|concern| stream(self.seed, concern));
        let fastest = self.tides.iter().map(|tide| tide.factor).fold(1.0, f64::max);
        let gap = Exp::new(self.rate * fastest).expect("checked: a rate above 0");
        let size = Exp::new(1.0).expect("1 is above 0");
        let set = Zipf::new(self.sets as f64, self.skew.max(0.0)).expect("checked: sets above 0");
        let off = LogNormal::new(0.0, self.hint_spread.max(0.0)).expect("a spread that is not negative");
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let (mut at, mut plan) = (0.0, Vec::new());
        loop {
            at += gap.sample(&mut arrivals);
            let now = span(at);
            if now >= self.length {
                return plan;
            }
            // Thinning: the fastest rate is drawn, and of it as much is kept as the moment's rate asks.
            let tide = self.tides.iter().rfind(|tide| (tide.from..tide.until).contains(&now));
            if arrivals.random::<f64>() * fastest >= tide.map_or(1.0, |tide| tide.factor) {
                continue;
            }
            let mut pick = classes.random::<f64>() * all;
            let class = self.classes.iter().position(|c| {
                pick -= c.share;
                pick < 0.0
            });
            let class = class.unwrap_or(self.classes.len() - 1);
            // Half fixed and half drawn, so that no job is next to nothing.
            let work_s = self.classes[class].mean_s * (0.5 + 0.5 * size.sample(&mut sizes));
            plan.push(Planned {
                at: now,
                class,
                work_s,
                hint_s: work_s * off.sample(&mut hints),
                slots: if sizes.random::<f64>() < LARGE { self.classes[class].slots } else { 1 },
                set: set.sample(&mut keys) as u64,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn wish() -> Wish {
        let class = |share, slots| Asking { share, mean_s: 0.5, slots };
        let (seed, length, tides) =
            (7, span(100.0), vec![Tide { from: span(50.0), until: span(60.0), factor: 3.0 }]);
        let classes = vec![class(0.75, 1), class(0.25, 2)];
        Wish { seed, length, rate: 50.0, tides, classes, sets: 100, skew: 1.0, hint_spread: 0.2 }
    }

    #[test]
    fn a_seed_draws_the_same_plan_and_rates_shares_and_sizes_are_as_asked() {
        let plan = wish().draw();
        assert_eq!(plan, wish().draw());
        assert_ne!(plan, Wish { seed: 8, ..wish() }.draw());
        let part = |keep: &dyn Fn(&&Planned) -> bool| plan.iter().filter(keep).count() as f64;
        // 90 s at 50 and 10 s at 150; bounds are four standard deviations wide.
        assert!((part(&|_| true) - 6000.0).abs() < 4.0 * 78.0);
        assert!((part(&|p| (span(50.0)..span(60.0)).contains(&p.at)) - 1500.0).abs() < 4.0 * 39.0);
        assert!((part(&|p| p.class == 1) / plan.len() as f64 - 0.25).abs() < 0.03);
        assert!((plan.iter().map(|p| p.work_s).sum::<f64>() / plan.len() as f64 - 0.5).abs() < 0.02);
        assert!(plan.iter().all(|p| p.slots == 1 || p.class == 1));
    }

    #[test]
    fn a_change_in_one_concern_shuffles_no_other() {
        let (plain, skewed) = (wish().draw(), Wish { skew: 0.0, ..wish() }.draw());
        assert!(plain.iter().zip(&skewed).all(|(a, b)| (a.at, a.class, a.slots) == (b.at, b.class, b.slots)));
        assert!(plain.iter().zip(&skewed).any(|(a, b)| a.set != b.set));
    }
}
