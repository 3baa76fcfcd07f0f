/** The public entry: what a program that embeds an entry or the stand-ins needs. */
export {
    type Clock,
    type Entry,
    type EntrySettings,
    entrySettingsSchema,
    Execution,
    FailureKind,
    type Milliseconds,
    parseSettings,
    type Random,
    readSettings,
    seededRandom,
    SettingsError,
    startEntry,
    systemClock,
    systemRandom,
} from "./internal.js";
