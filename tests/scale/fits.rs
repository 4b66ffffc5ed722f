//! Lines that are known, and points that no line fits.
use crate::fit::{Fit, FitError};

fn near(value: f64, wanted: f64) -> bool {
    (value - wanted).abs() <= 1e-9 * wanted.abs().max(1.0)
}

#[test]
fn a_line_is_found_without_error() {
    let points: Vec<(f64, f64)> = [1.0, 2.0, 5.0, 9.0, 20.0].iter().map(|x| (*x, 3.0 + 0.5 * x)).collect();
    let fit = Fit::of(&points).expect("a line");
    assert!(near(fit.intercept, 3.0) && near(fit.slope, 0.5), "{fit:?}");
    assert!(fit.slope_error < 1e-9 && fit.relative_rms < 1e-9, "{fit:?}");
    assert!(near(fit.at(100.0), 53.0));
    assert!(fit.reaches(13.0).is_some_and(|x| near(x, 20.0)));
}

#[test]
fn points_off_the_line_show_in_its_errors() {
    // Residuals of the line 1 + 2x: +1, -1, -1, +1 leave slope and intercept as they are.
    let points = [(0.0, 2.0), (1.0, 2.0), (2.0, 4.0), (3.0, 8.0)];
    let fit = Fit::of(&points).expect("a line");
    assert!(near(fit.slope, 2.0) && near(fit.intercept, 1.0), "{fit:?}");
    assert!(near(fit.slope_error, (4.0f64 / 2.0 / 5.0).sqrt()), "{fit:?}");
    assert!(near(fit.relative_rms, 1.0 / 4.0), "{fit:?}");
}

#[test]
fn a_flat_or_falling_line_never_reaches_a_bound() {
    let flat = Fit::of(&[(1.0, 4.0), (2.0, 4.0), (3.0, 4.0)]).expect("a line");
    assert_eq!((flat.slope, flat.reaches(5.0)), (0.0, None));
    let falling = Fit::of(&[(1.0, 4.0), (2.0, 3.0)]).expect("a line");
    assert_eq!((falling.reaches(5.0), falling.slope_error), (None, 0.0));
    // Over its bound from the start.
    let over = Fit::of(&[(1.0, 4.0), (2.0, 5.0)]).expect("a line");
    assert_eq!(over.reaches(2.0), Some(0.0));
}

#[test]
fn points_that_make_no_line_are_refused() {
    assert_eq!(Fit::of(&[]), Err(FitError::TooFew));
    assert_eq!(Fit::of(&[(1.0, 1.0)]), Err(FitError::TooFew));
    assert_eq!(Fit::of(&[(1.0, 1.0), (1.0, 2.0)]), Err(FitError::OneSize));
    assert_eq!(Fit::of(&[(1.0, f64::NAN), (2.0, 2.0)]), Err(FitError::NotFinite));
    assert_eq!(Fit::of(&[(f64::INFINITY, 1.0), (2.0, 2.0)]), Err(FitError::NotFinite));
}
