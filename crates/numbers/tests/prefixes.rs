//! The structure made for prefixes beside the slow and obvious one.

use std::collections::BTreeMap;

use lotussaddle_numbers::{Digits, Prefixes, range};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn digits(text: &str) -> Digits {
    Digits::parse(text).unwrap()
}

fn slow(map: &BTreeMap<Digits, u32>, number: Digits) -> Option<(Digits, u32)> {
    let covering = map.iter().filter(|(prefix, _)| number.starts_with(**prefix));
    covering.max_by_key(|(prefix, _)| prefix.len()).map(|(prefix, value)| (*prefix, *value))
}

/// Few digits, so that prefixes cover each other often.
fn any_number(most: usize) -> impl Strategy<Value = Digits> {
    (any::<bool>(), prop::collection::vec(0..3u32, 1..most)).prop_map(|(plus, signs)| {
        let start = if plus { digits("+") } else { Digits::default() };
        start.join(signs.into_iter().map(|d| char::from_digit(d, 10).unwrap())).unwrap_or(start)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn finds_what_the_slow_one_finds_through_any_changes(
        first in prop::collection::vec((any_number(10), 0..50u32), 0..400),
        changes in prop::collection::vec((any_number(10), prop::option::of(0..50u32)), 0..200),
        asked in prop::collection::vec(any_number(16), 100),
    ) {
        let mut map: BTreeMap<Digits, u32> = first.iter().copied().collect();
        let built = Prefixes::new(first);
        let before = map.clone();
        let changed = built.with(changes.iter().copied());
        for (prefix, value) in &changes {
            match value {
                Some(value) => drop(map.insert(*prefix, *value)),
                None => drop(map.remove(prefix)),
            }
        }
        for number in asked.iter().chain(map.keys()) {
            prop_assert_eq!(changed.longest(*number), slow(&map, *number), "{}", number);
            prop_assert_eq!(changed.exact(*number), map.get(number).copied());
            prop_assert_eq!(built.longest(*number), slow(&before, *number), "the former one, {}", number);
        }
        prop_assert_eq!(changed.len(), map.len());
        prop_assert!(changed.iter().eq(map.iter().map(|(prefix, value)| (*prefix, *value))));
    }

    #[test]
    fn a_range_is_just_its_numbers(from in 0..10_000u32, to in 0..10_000u32, plus in any::<bool>()) {
        let number = |n: u32| digits(&format!("{}{n:04}", if plus { "+" } else { "" }));
        let parts = range(number(from), number(to));
        prop_assert_eq!(parts.is_some(), from <= to);
        let parts = parts.unwrap_or_default();
        prop_assert!(parts.len() <= 72, "{} parts", parts.len());
        for n in (0..10_000).step_by(7).chain([from, to, from.saturating_sub(1), (to + 1).min(9_999)]) {
            let covering = parts.iter().filter(|part| number(n).starts_with(**part)).count();
            prop_assert_eq!(covering, usize::from((from..=to).contains(&n)), "{} in {}..{}", n, from, to);
        }
    }
}

#[test]
fn large_tables_split_and_join_their_parts_and_share_the_rest() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut draw = |len: usize| {
        digits("+49").join((0..len).map(|_| char::from_digit(rng.random_range(0..10), 10).unwrap())).unwrap()
    };
    let mut map: BTreeMap<Digits, u32> = (0..30_000).map(|n| (draw(2 + n % 8), n as u32)).collect();
    let first = Prefixes::new(map.clone());
    let mut now = first.clone();
    for round in 0..60u32 {
        let changes: Vec<(Digits, Option<u32>)> = (0..500)
            .map(|n| {
                if n % 2 == round % 2 {
                    let known = *map.range(draw(9)..).next().or(map.iter().next()).unwrap().0;
                    (known, None)
                } else {
                    (draw(5 + n as usize % 5), Some(n))
                }
            })
            .collect();
        for (prefix, value) in &changes {
            match value {
                Some(value) => drop(map.insert(*prefix, *value)),
                None => drop(map.remove(prefix)),
            }
        }
        now = now.with(changes);
        for _ in 0..200 {
            let number = draw(12);
            assert_eq!(now.longest(number), slow_by_length(&map, number), "{number} in round {round}");
        }
    }
    assert_eq!(now.len(), map.len());
    // What is dropped takes its parts along.
    let few = now.with(map.keys().skip(5).map(|prefix| (*prefix, None)));
    assert!(
        few.len() == 5 && few.bytes() < 1000 && now.bytes() > 100_000,
        "{} bytes for {}",
        few.bytes(),
        few.len()
    );
    // One prefix more: all parts but those on the way to it are the same ones, be it long or short.
    for prefix in [draw(11), digits("+4")] {
        let one_more = now.with([(prefix, Some(1))]);
        let (shared, all) = one_more.shared_with(&now);
        assert!(all - shared <= 17, "{shared} of {all} parts are shared");
    }
}

fn slow_by_length(map: &BTreeMap<Digits, u32>, number: Digits) -> Option<(Digits, u32)> {
    (1..=number.len()).rev().find_map(|len| map.get_key_value(&number.first(len))).map(|(p, v)| (*p, *v))
}
