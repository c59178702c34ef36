//! The worker and the archive, driven by hand: what is taken on, how long it runs, and what is lost.

use curlewusher_model::world::{Demand, Effect, Input, Machine, Nature, World};
use curlewusher_model::{Micros, span};

fn world(machines: usize) -> World {
    let machine = |bay| Machine { bay, cores: 2.0, speed: 2.0, slots: 2, memory: 4.0, queue: 1, sets: 2 };
    let nature = Nature { fetch_s: 1.0, archive: 1.0, ..Nature::default() };
    World::new((0..machines as u32).map(machine).collect(), nature)
}

fn job(set: u64) -> Demand {
    Demand { work_s: 4.0, slots: 1, memory: 1.0, set, key: None }
}

struct Hall(World, Vec<(Micros, Effect)>);

impl Hall {
    /// What follows at once.
    fn now(&mut self, at: Micros, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.0.handle(at, input, &mut out);
        self.1.extend(out.iter().map(|effect| (at, effect.clone())));
        out
    }

    fn arrive(&mut self, at: Micros, worker: usize, attempt: u64, demand: Demand) -> Vec<Effect> {
        self.now(at, Input::Arrive { worker, attempt, demand })
    }

    /// Goes on to the end, and says when an attempt was done.
    fn done(&mut self, attempt: u64) -> Option<Micros> {
        let mut out = Vec::new();
        for _ in 0..1000 {
            let Some(next) = self.0.next() else { break };
            self.0.drive(next, &mut out);
            self.1.extend(out.drain(..).map(|effect| (next, effect)));
        }
        self.1.iter().find(|(_, effect)| *effect == Effect::Done(attempt)).map(|(at, _)| *at)
    }
}

fn near(at: Option<Micros>, s: f64) -> bool {
    at.is_some_and(|at| at.abs_diff(span(s)) <= 20)
}

#[test]
fn a_job_fetches_its_set_once_and_then_runs_at_the_speed_of_its_worker() {
    let mut hall = Hall(world(1), Vec::new());
    assert_eq!(hall.arrive(0, 0, 1, job(9)), [Effect::TakenOn(1), Effect::Started(1)]);
    assert!(near(hall.done(1), 3.0), "1 s of fetch, 4 s of work at twice the speed");
    hall.arrive(span(10.0), 0, 2, job(9));
    assert!(near(hall.done(2), 12.0), "the set is kept");
}

#[test]
fn fetches_share_the_archive() {
    let mut hall = Hall(world(2), Vec::new());
    hall.arrive(0, 0, 1, job(1));
    hall.arrive(0, 1, 2, job(2));
    assert!(near(hall.done(1), 4.0) && near(hall.done(2), 4.0), "two at half the speed");
}

#[test]
fn a_full_queue_turns_away_and_the_head_waits_for_its_slots() {
    let mut hall = Hall(world(1), Vec::new());
    hall.arrive(0, 0, 1, job(1));
    assert_eq!(hall.arrive(0, 0, 2, Demand { slots: 2, ..job(1) }), [Effect::TakenOn(2)]);
    assert_eq!(
        hall.arrive(0, 0, 3, job(1)),
        [Effect::TurnedAway(3)],
        "it would fit, but not before the head"
    );
    assert_eq!(hall.arrive(0, 0, 4, Demand { slots: 3, ..job(1) }), [Effect::TurnedAway(4)], "it never fits");
    assert!(near(hall.done(1), 3.0) && near(hall.done(2), 5.0));
}

#[test]
fn a_withdrawn_job_frees_its_place_and_is_told_no_more() {
    let mut hall = Hall(world(1), Vec::new());
    hall.arrive(0, 0, 1, Demand { slots: 2, ..job(1) });
    hall.arrive(0, 0, 2, job(1));
    let freed = hall.now(span(1.5), Input::Withdraw { worker: 0, attempt: 1 });
    assert_eq!(freed, [Effect::Withdrawn(1, true), Effect::Started(2)]);
    assert_eq!(hall.now(span(1.6), Input::Withdraw { worker: 0, attempt: 1 }), [], "it is known no more");
    assert!(hall.done(1).is_none() && near(hall.done(2), 3.5));
}

#[test]
fn what_a_killed_worker_holds_is_lost_and_it_starts_cold() {
    let mut hall = Hall(world(1), Vec::new());
    hall.arrive(0, 0, 1, job(1));
    hall.arrive(0, 0, 2, job(1));
    assert_eq!(hall.now(span(0.5), Input::Kill(0)), [Effect::Lost(1), Effect::Lost(2)]);
    assert_eq!(hall.arrive(span(0.6), 0, 3, job(1)), [Effect::TurnedAway(3)]);
    hall.now(span(1.0), Input::Start(0));
    hall.arrive(span(1.0), 0, 4, job(1));
    assert!(hall.done(4).is_some_and(|at| at > span(6.0)), "it fetches again and is cold");
}

#[test]
fn a_cold_worker_that_is_sent_too_much_falls_over_and_a_warm_one_does_not() {
    let mut hall = Hall(world(1), Vec::new());
    // A warm one turns away what it cannot take, however much.
    for attempt in 1..=12 {
        hall.arrive(0, 0, attempt, job(1));
    }
    assert!(!hall.1.iter().any(|(_, effect)| matches!(effect, Effect::FellOver(_))));
    hall.now(1, Input::Kill(0));
    hall.now(2, Input::Start(0));
    let fell = (20..=32).find(|attempt| hall.arrive(3, 0, *attempt, job(1)).contains(&Effect::FellOver(0)));
    assert!(fell.is_some(), "2 cores of speed 2 at 13 % bear 3.1 s of work in 2 s");
}

#[test]
fn a_drain_hands_back_what_waits_and_ends_what_runs() {
    let mut hall = Hall(world(1), Vec::new());
    hall.arrive(0, 0, 1, Demand { slots: 2, ..job(1) });
    hall.arrive(0, 0, 2, job(1));
    assert_eq!(hall.now(1, Input::Drain(0)), [Effect::Returned(2)]);
    assert_eq!(hall.arrive(2, 0, 3, job(1)), [Effect::TurnedAway(3)]);
    assert!(near(hall.done(1), 3.0) && hall.done(2).is_none());
}

#[test]
fn a_repeat_is_dropped_in_its_bay_and_runs_in_another() {
    let mut hall = Hall(world(2), Vec::new());
    let keyed = |set| Demand { key: Some(77), ..job(set) };
    hall.arrive(0, 0, 1, keyed(1));
    assert!(near(hall.done(1), 3.0));
    let told = hall.arrive(span(5.0), 0, 2, keyed(1));
    assert_eq!(told, [Effect::TakenOn(2), Effect::Started(2), Effect::Done(2)]);
    assert_eq!(hall.arrive(span(5.0), 1, 3, keyed(1)).last(), Some(&Effect::Started(3)));
}

#[test]
fn slowness_comes_and_goes_in_the_middle_of_a_job() {
    let mut hall = Hall(world(1), Vec::new());
    hall.arrive(0, 0, 1, job(1));
    hall.now(span(2.0), Input::Slow(0, 4.0));
    hall.now(span(6.0), Input::Slow(0, 1.0));
    assert!(near(hall.done(1), 6.0), "2 s of work in 1 s, then 2 s more in 4 s");
}
