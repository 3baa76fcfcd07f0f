import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["dist/", "node_modules/", "target/"] },
    ...tseslint.configs.recommended,
    {
        files: ["src/**/*.ts", "platform/**/*.ts", "__tests__/**/*.ts"],
        languageOptions: { parserOptions: { project: "./tsconfig.json" } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "import", format: ["camelCase", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "variable", format: ["camelCase", "PascalCase"] },
                { selector: ["objectLiteralProperty", "typeProperty"], format: [], filter: "." },
            ],
        },
    },
    {
        rules: {
            curly: "error",
            eqeqeq: "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "prefer-arrow-callback": "error",
            "no-restricted-syntax": ["error", {
                selector: "Literal[raw='null']",
                message: "Use undefined; null is not part of this code.",
            }],
        },
    },
);
