/** Public API for programs that embed an entry. */
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
