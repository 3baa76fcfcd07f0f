/** Parses and validates INI settings files. Each error message is one line that names the file, the section and the key. */
import { parse } from "ini";
import { readFileSync } from "node:fs";
import * as z from "zod";
import { DandelionrampError, describeError } from "./errors.js";

/** A settings file is unreadable or invalid. */
export class SettingsError extends DandelionrampError {}

/** Schemas for setting values. The error message of each states the expected value. */
export const setting = {
    text: () => z.string("expected text").min(1, "expected text"),
    /** `host:port`. */
    address: () =>
        z.string("expected an address as host:port").regex(/^[^\s:]+:\d{1,5}$/, "expected an address as host:port"),
    wholeNumber: (minimum = 0) =>
        z.string(`expected a whole number of at least ${minimum}`)
            .regex(/^\d{1,12}$/, `expected a whole number of at least ${minimum}`)
            .transform(Number)
            .refine(value => value >= minimum, `expected a whole number of at least ${minimum}`),
    share: () =>
        z.string("expected a number from 0 to 1")
            .regex(/^(0(\.\d+)?|1(\.0+)?)$/, "expected a number from 0 to 1")
            .transform(Number),
    flag: () => z.boolean("expected true or false"),
    list: () => z.string().transform(text => text.split(",").map(item => item.trim()).filter(item => item !== "")),
    oneOf: <Value extends string>(values: Record<string, Value>) => {
        const expected = `expected one of ${Object.values(values).join(", ")}`;
        return z.enum(values, expected);
    },
};

/** Names that a schema allows: the sections of a file, or the keys of a section. */
const knownNames = (schema: z.ZodType): string[] => {
    if (schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) {
        return knownNames(schema.unwrap() as z.ZodType);
    }
    return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
};

const sectionOf = (schema: z.ZodType, section: string | undefined): z.ZodType =>
    section !== undefined && schema instanceof z.ZodObject ? schema.shape[section] as z.ZodType : schema;

const describeExpectation = (issue: z.core.$ZodIssue, schema: z.ZodType): string => {
    const expectedNames = knownNames(sectionOf(schema, issue.path[0]?.toString())).join(", ");
    if (issue.code === "unrecognized_keys") {
        const nameKind = issue.path.length === 0 ? "section" : "key";
        return `unknown ${nameKind} ${issue.keys.join(", ")}; expected ${expectedNames}`;
    }
    // For a key, the message of the issue states the expected value. For a section it only names a type.
    return issue.path.length === 1
        ? `the section is missing or is a plain key; expected a section with ${expectedNames}`
        : issue.message;
};

const describeIssue = (file: string, issue: z.core.$ZodIssue, schema: z.ZodType): string => {
    const names = issue.path.map(String);
    const key = names.length > 1 ? names.at(-1) : undefined;
    const section = names.length > 1 ? names.slice(0, -1).join(".") : names[0];
    const location = [section === undefined ? "" : `[${section}]`, key ?? ""].filter(part => part !== "").join(" ");
    return `${file}: ${location === "" ? "" : `${location}: `}${describeExpectation(issue, schema)}`;
};

/** Parses the text of a settings file and validates it. Throws {@link SettingsError}. */
export const parseSettings = <Schema extends z.ZodType>(
    file: string,
    text: string,
    schema: Schema,
): z.infer<Schema> => {
    const outcome = schema.safeParse(JSON.parse(JSON.stringify(parse(text))));
    if (!outcome.success) {
        throw new SettingsError(describeIssue(file, outcome.error.issues[0]!, schema));
    }
    return outcome.data;
};

/** Reads the text of a settings file. Throws {@link SettingsError}. */
export const readSettingsText = (file: string): string => {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        throw new SettingsError(`${file}: can't be read: ${describeError(error)}`, { cause: error });
    }
};

/** Reads a settings file, parses and validates it. Throws {@link SettingsError}. */
export const readSettings = <Schema extends z.ZodType>(file: string, schema: Schema): z.infer<Schema> =>
    parseSettings(file, readSettingsText(file), schema);
