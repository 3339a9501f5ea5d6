//! The JSON form of a caller's message, read without keeping what the protocol does not name.
//!
//! A message may hold very many fields that mean nothing here. They are skipped while the line is read, so that such a
//! message costs little more than its length.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, de};
use serde_json::Number;

/// A value of a field: text or a number, or something that no field of the protocol may hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar<'a> {
    /// Text.
    Text(Cow<'a, str>),
    /// A number.
    Number(Number),
    /// An object, a list, a boolean or null.
    Other,
}

impl Scalar<'_> {
    /// The text, if it is text.
    pub fn text(&self) -> Option<&str> {
        if let Self::Text(text) = self { Some(text) } else { None }
    }

    /// The text, or the digits of a number.
    pub fn as_text(&self) -> Option<String> {
        match self {
            Self::Text(text) => Some(text.clone().into_owned()),
            Self::Number(number) => Some(number.to_string()),
            Self::Other => None,
        }
    }

    /// The number, which callers send as a JSON number or as a string.
    pub fn number(&self) -> Option<f64> {
        let number = match self {
            Self::Number(number) => number.as_f64()?,
            Self::Text(text) => text.parse().ok()?,
            Self::Other => return None,
        };
        number.is_finite().then_some(number)
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for Scalar<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_borrowed_str<E: de::Error>(self, text: &'de str) -> Result<Self::Value, E> {
        Ok(Scalar::Text(Cow::Borrowed(text)))
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Scalar::Text(Cow::Owned(text.to_owned())))
    }

    fn visit_u64<E: de::Error>(self, number: u64) -> Result<Self::Value, E> {
        Ok(Scalar::Number(number.into()))
    }

    fn visit_i64<E: de::Error>(self, number: i64) -> Result<Self::Value, E> {
        Ok(Scalar::Number(number.into()))
    }

    fn visit_f64<E: de::Error>(self, number: f64) -> Result<Self::Value, E> {
        Ok(Number::from_f64(number).map_or(Scalar::Other, Scalar::Number))
    }

    fn visit_bool<E: de::Error>(self, _: bool) -> Result<Self::Value, E> {
        Ok(Scalar::Other)
    }

    fn visit_unit<E: de::Error>(self) -> Result<Self::Value, E> {
        Ok(Scalar::Other)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        while list.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Scalar::Other)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Self::Value, A::Error> {
        while object.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Scalar::Other)
    }
}

/// A message from a caller.
#[derive(Deserialize)]
pub struct JsonMessage<'a> {
    /// Its type.
    #[serde(borrow, default)]
    pub verb: Cow<'a, str>,
    /// The call's identifier.
    #[serde(borrow, default)]
    pub tag: Option<Scalar<'a>>,
    /// Its fields.
    #[serde(borrow, default)]
    pub opts: Option<Options<'a>>,
    /// Its cause.
    #[serde(borrow, default)]
    pub rc: Option<Scalar<'a>>,
    /// Its session description.
    #[serde(borrow, default)]
    pub blob: Option<Scalar<'a>>,
}

/// The fields of a set-up that the protocol names; the last one counts where a name is repeated.
#[derive(Debug, Default, PartialEq)]
pub struct Options<'a> {
    /// Name of the product.
    pub class: Option<Scalar<'a>>,
    /// Time until the caller gives up.
    pub left: Option<Scalar<'a>>,
    /// Whether it is a retry.
    pub retry: Option<Scalar<'a>>,
    /// The called number.
    pub key: Option<Scalar<'a>>,
    /// Further figures.
    pub extras: Option<Scalar<'a>>,
}

impl<'de: 'a, 'a> Deserialize<'de> for Options<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(OptionsVisitor)
    }
}

struct OptionsVisitor;

impl<'de> Visitor<'de> for OptionsVisitor {
    type Value = Options<'de>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut object: A) -> Result<Self::Value, A::Error> {
        let mut options = Options::default();
        while let Some(Scalar::Text(name)) = object.next_key()? {
            let field = match &*name {
                "class" => &mut options.class,
                "left" => &mut options.left,
                "retry" => &mut options.retry,
                "key" => &mut options.key,
                "extras" => &mut options.extras,
                _ => {
                    object.next_value::<IgnoredAny>()?;
                    continue;
                }
            };
            *field = Some(object.next_value()?);
        }
        Ok(options)
    }
}
